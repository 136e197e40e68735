"""Exchange of loads between daemons: changes at once, and a full message every second."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest

from passpier.core import members, replicas
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
