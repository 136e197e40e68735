"""Exchange of loads between daemons: changes at once, and a full message every second."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

import msgspec
import pytest

from passpier.core import members, replica_memory, replicas
from passpier.daemon import loads, messages
from passpier.standins import network, virtual_time

POOL = [f'r{n}' for n in range(6)]
SLOTS = 16


class Upstreams:
    """The upstreams of one daemon."""

    def __init__(self) -> None:
        self.replicas = {n: replicas.Replica(n, '', '', '', slots=SLOTS) for n in POOL}


class Daemon:
    """One daemon, which records the messages that it sends."""

    def __init__(self, own: members.Member, fleet: list[members.Member], net: network.Network):
        self.upstreams = Upstreams()
        membership = members.Membership(own, 1e6, 0.0)
        for member in fleet:
            membership.add(member, 0.0)
        membership.merge([members.Beat(m.incarnation, 1) for m in fleet], 0.0)
        self.link = net.connect(own)
        self.sent: list[messages.ReplicaLoads] = []
        send_all = self.link.send_all

        def note(addresses: list[str], message: messages.ReplicaLoads) -> None:
            self.sent.append(message)
            send_all(addresses, message)

        self.link.send_all = note  # type: ignore[method-assign,assignment]
        self.loads = loads.Loads(membership, self.upstreams, self.link)  # type: ignore[arg-type]


Check = Callable[[Daemon, Daemon, network.Network], Awaitable[None]]


def run_check(check: Check) -> None:
    async def run() -> None:
        net = network.Network(random.Random(1))
        fleet = [
            members.Member(f'vm-{n}', f'i{n}', '10.0.0.1', n, 1000 + n, f'd{n}') for n in range(2)
        ]
        sender, receiver = (Daemon(m, fleet, net) for m in fleet)
        tasks = [asyncio.ensure_future(d.loads.run()) for d in (sender, receiver)]
        await check(sender, receiver, net)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    virtual_time.run(run())


def now() -> float:
    return asyncio.get_running_loop().time()


pytestmark = pytest.mark.usefixtures('virtual_clock')


def test_a_load_is_sent_at_once_and_then_every_second() -> None:
    async def check(sender: Daemon, receiver: Daemon, net: network.Network) -> None:
        await asyncio.sleep(1.5)
        replicas.begin_dispatch(sender.upstreams.replicas['r1'], 'a', 9000, now())
        await asyncio.sleep(0.2)
        assert receiver.upstreams.replicas['r1'].peers['i0'].running == 1
        replicas.note_first_token(sender.upstreams.replicas['r1'], 'a', now())
        await asyncio.sleep(0.2)
        assert sum(receiver.upstreams.replicas['r1'].peers['i0'].tokens) == 0
        sender.sent.clear()
        # A long stream causes no further changes.
        await asyncio.sleep(3.0)
        assert len(sender.sent) <= 3
        assert all(m.is_full for m in sender.sent)
        assert receiver.upstreams.replicas['r1'].peers['i0'].running == 1

    run_check(check)


def test_the_end_of_a_load_is_sent_and_keeps_others() -> None:
    async def check(sender: Daemon, receiver: Daemon, net: network.Network) -> None:
        for name in ('r1', 'r2'):
            replicas.begin_dispatch(sender.upstreams.replicas[name], name, 9000, now())
        await asyncio.sleep(0.2)
        replicas.end_dispatch(sender.upstreams.replicas['r1'], 'r1', now())
        await asyncio.sleep(0.2)
        assert 'i0' not in receiver.upstreams.replicas['r1'].peers
        assert receiver.upstreams.replicas['r2'].peers['i0'].running == 1

    run_check(check)


def test_a_small_change_waits_for_the_next_full_message() -> None:
    async def check(sender: Daemon, receiver: Daemon, net: network.Network) -> None:
        replica = sender.upstreams.replicas['r1']
        replicas.begin_dispatch(replica, 'a', 9000, now())
        await asyncio.sleep(0.2)
        sender.sent.clear()
        replicas.begin_dispatch(replica, 'b', 100, now())
        await asyncio.sleep(0.3)
        assert not [m for m in sender.sent if not m.is_full]
        await asyncio.sleep(loads.FULL_INTERVAL)
        assert receiver.upstreams.replicas['r1'].peers['i0'].running == 2

    run_check(check)


def test_a_full_message_repairs_a_lost_one() -> None:
    async def check(sender: Daemon, receiver: Daemon, net: network.Network) -> None:
        await asyncio.sleep(1.5)
        net.loss = 1.0
        replicas.begin_dispatch(sender.upstreams.replicas['r1'], 'a', 9000, now())
        await asyncio.sleep(0.1)
        net.loss = 0.0
        await asyncio.sleep(loads.FULL_INTERVAL + 0.1)
        assert receiver.upstreams.replicas['r1'].peers['i0'].running == 1

    run_check(check)


def send_with_memory(daemon: Daemon, name: str, tokens: int) -> None:
    replica = daemon.upstreams.replicas[name]
    replicas.begin_dispatch(replica, f'{name}{tokens}', 100, now())
    replica.dispatches[f'{name}{tokens}'].memory_tokens = tokens


def test_the_memory_of_requests_is_sent_even_if_nothing_is_left_to_compute() -> None:
    """Guards against ten cached prompts that count at their own VM only, and its lost messages."""

    async def check(sender: Daemon, receiver: Daemon, net: network.Network) -> None:
        for daemon in (sender, receiver):
            daemon.upstreams.replicas['r1'].memory_capacity = 96_567
        send_with_memory(sender, 'r1', 9_200)
        await asyncio.sleep(0.2)
        replica = receiver.upstreams.replicas['r1']
        assert replica.peers['i0'].memory_tokens == 9_200
        net.loss = 1.0
        send_with_memory(sender, 'r1', 80_000)
        await asyncio.sleep(0.1)
        assert replica_memory.has_memory(replica, 9_200, now())
        net.loss = 0.0
        await asyncio.sleep(loads.FULL_INTERVAL + 0.1)
        assert not replica_memory.has_memory(replica, 9_200, now())

    run_check(check)


class OlderLoads(messages.Message, tag='ld'):
    """`ReplicaLoads` of a release without memory."""

    loads: list[tuple[str, int, tuple[int, ...], int]]
    is_full: bool = True


def test_messages_of_older_releases_decode_and_ours_decode_there() -> None:
    """Guards against loads that are dropped for as long as an update of the VMs lasts."""
    row = ('r1', 7, (0, 0, 9000, 0), 1)
    older = msgspec.msgpack.encode(OlderLoads([row], False))
    ours = msgspec.msgpack.encode(messages.ReplicaLoads([row], False, [9_200]))
    assert msgspec.msgpack.decode(older, type=messages.ReplicaLoads).memory == []
    assert msgspec.msgpack.decode(ours, type=OlderLoads) == OlderLoads([row], False)
    without = msgspec.msgpack.encode(messages.ReplicaLoads([row], False))
    assert len(ours) - len(without) == 3


def test_rows_without_memory_count_as_needing_none() -> None:
    """Guards against an error at a message of an older release, or with too few or many rows."""

    async def check(sender: Daemon, receiver: Daemon, net: network.Network) -> None:
        rows: list[tuple[str, int, tuple[int, ...], int]] = [
            (f'r{n}', 0, (0,), 1) for n in range(2)
        ]
        for memory in ([], [-5], [0, 0, 9_200]):
            message = messages.ReplicaLoads(rows, True, memory)
            receiver.loads._handle_loads('i0', '', message)
            known = [receiver.upstreams.replicas[f'r{n}'].peers['i0'] for n in range(2)]
            assert [p.memory_tokens for p in known] == [0, 0]

    run_check(check)
