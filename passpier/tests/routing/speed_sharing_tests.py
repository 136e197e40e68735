"""VMs that tell each other the speeds of replicas, in virtual time, and of which some are lost."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable
from typing import cast

import msgspec
import pytest

from passpier import clocks
from passpier.core import catalogue, members, replicas, routes, speeds
from passpier.daemon import messages, metrics, peers
from passpier.routing import pools, speed_sharing
from passpier.standins import network, virtual_time

pytestmark = pytest.mark.usefixtures('virtual_clock')

SERVICE = 's'
TOKENS = 9190
RATE = 1 / 81_900
UNEVEN = (0.6, 1.0, 1.6)


class Fleet:
    """VMs that each see one long prompt per replica in 3 seconds."""

    def __init__(self, vms: int, size: int, relative: tuple[float, ...]) -> None:
        self.net = network.Network(random.Random(1))
        self.relative = relative
        self.names = [f'llm-{n}' for n in range(size)]
        self.pools: list[pools.Pools] = []
        self.sharing: list[speed_sharing.SpeedSharing] = []
        self.memberships: list[members.Membership] = []
        self.beats = 1
        self.sent: list[tuple[int, messages.ReplicaSpeeds]] = []
        """The encoded size and content of all messages of the first VM."""

        fleet = [
            members.Member(f'vm-{n}', f'{n:05x}', '10.0.0.1', n, n, f'd{n % 3}') for n in range(vms)
        ]
        for own in fleet:
            membership = members.Membership(own, 1e6, clocks.now())
            for other in fleet:
                membership.add(other, clocks.now())
            membership.merge(
                [members.Beat(m.incarnation, 1, rate=9.0) for m in fleet], clocks.now()
            )
            link = self.net.connect(own)
            if own is fleet[0]:
                self.record_messages(link)
            known = pools.Pools(10.0)
            services = {SERVICE: routes.Service(SERVICE, 100)}
            known.apply_configuration(routes.Configuration(1, services=services))
            self.pools.append(known)
            self.sharing.append(
                speed_sharing.SpeedSharing(
                    known, membership, cast(peers.Peers, link), metrics.Metrics()
                )
            )
        for name in self.names:
            self.start_replica(name, 1)

    def record_messages(self, link: network.Link) -> None:
        send = link.send

        def note(address: str, message: messages.ReplicaSpeeds) -> None:
            envelope = messages.Envelope('0' * 32, '10.0.0.1:10000', message)
            self.sent.append((len(messages.encode(envelope)), message))
            send(address, message)

        link.send = note  # type: ignore[method-assign,assignment]

    def start_replica(self, name: str, started_ms: int) -> None:
        entry = catalogue.Entry(name, SERVICE, f'{name}:1', 'd0', 48, False, {}, started_ms)
        for known in self.pools:
            known.apply_change(catalogue.Change(name, entry, 'recorded'))

    def run_prompt(self, vm: int, name: str, factor: float = 1.0) -> None:
        """Let a VM see a prompt at a replica."""
        relative = self.relative[self.names.index(name) % len(self.relative)]
        seconds = TOKENS * RATE / relative * factor
        sample = replicas.PrefillSample(TOKENS, seconds, seconds)
        self.sharing[vm].note_prefill(self.pools[vm].get(name), sample)

    async def work(self, seconds: float, vms: range | None = None) -> None:
        """Let VMs work for some time."""
        for _ in range(round(seconds / 3)):
            for name in self.names:
                for vm in vms or range(len(self.sharing)):
                    self.run_prompt(vm, name)
                await asyncio.sleep(3.0 / len(self.names))

    def get_speed(self, vm: int, name: str) -> float | None:
        speed = self.pools[vm].get(name).speed
        return speed.seconds_per_token if speed is not None else None

    def check_learnt(self, vm: int, tolerance: float) -> None:
        """Check the speeds of all replicas at a VM."""
        for index, name in enumerate(self.names):
            usual = RATE / self.relative[index % len(self.relative)]
            assert self.get_speed(vm, name) == pytest.approx(usual, rel=tolerance)


def run(
    check: Callable[[Fleet], Awaitable[None]],
    vms: int = 9,
    size: int = 30,
    relative: tuple[float, ...] = UNEVEN,
) -> None:
    async def play() -> None:
        fleet = Fleet(vms, size, relative)
        tasks = [asyncio.ensure_future(s.run()) for s in fleet.sharing]
        await check(fleet)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    virtual_time.run(play())


def list_lines(caplog: pytest.LogCaptureFixture, text: str) -> list[logging.LogRecord]:
    return [r for r in caplog.records if r.message == text]


def test_every_vm_learns_the_speeds_within_seconds(caplog: pytest.LogCaptureFixture) -> None:
    """Replicas of 0.6, 1 and 1.6 times the usual speed, with one prompt in 3 s at each VM.

    A VM by itself has 8 samples of a replica after more than 24 s.
    """
    caplog.set_level(logging.INFO)

    async def check(fleet: Fleet) -> None:
        await fleet.work(9.0)
        for vm in range(9):
            fleet.check_learnt(vm, 0.2)
        await fleet.work(12.0)
        fleet.check_learnt(0, 0.1)

    run(check)
    assert len(list_lines(caplog, 'upstream speeds differ')) == 9


def test_equal_replicas_keep_the_choice_as_it_was(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)

    async def check(fleet: Fleet) -> None:
        await fleet.work(30.0)
        assert all(fleet.get_speed(0, name) is None for name in fleet.names)

    run(check, relative=(1.0,))
    assert not list_lines(caplog, 'upstream speeds differ')


def test_slowed_replica_is_marked_until_its_first_usual_prompt(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """A replica that turns 2.5 times slower for 0.6 s and back."""
    caplog.set_level(logging.INFO)

    async def check(fleet: Fleet) -> None:
        await fleet.work(15.0)
        known, other = fleet.pools[0].get('llm-0'), fleet.pools[1].get('llm-0')
        fleet.run_prompt(0, 'llm-0', 2.5)
        now = clocks.now()
        assert known.slowed_until == pytest.approx(now + speeds.SLOWED_SECONDS)
        assert other.slowed_until < now
        assert known.speed is not None
        rate = replicas.get_seconds_per_token(known, now)
        assert rate == 2 * known.speed.seconds_per_token
        fleet.run_prompt(0, 'llm-0')
        assert known.slowed_until <= now
        for _ in range(5):
            fleet.run_prompt(0, 'llm-0', 2.6)
            fleet.run_prompt(0, 'llm-0')

    run(check)
    # One line, whatever the number of slowdowns in these seconds.
    assert len(list_lines(caplog, 'upstream slowed')) == 1


def test_gaps_are_learnt_without_those_during_prefill() -> None:
    async def check(fleet: Fleet) -> None:
        sharing, replica = fleet.sharing[0], fleet.pools[0].get('llm-0')
        await fleet.work(9.0)
        # Half of the events arrive in fours.
        for gap in (0.03, 0.03, 0.03, 0.03, 0.12, 0.0, 0.0, 0.0) * 5 * speed_sharing.GAP_STRIDE:
            await asyncio.sleep(gap)
            sharing.note_event_gap(replica, clocks.now() - gap, clocks.now())
        await fleet.work(3.0)
        for vm in range(2):
            speed = fleet.pools[vm].get('llm-0').speed
            assert speed is not None
            assert speed.event_seconds == pytest.approx(0.03, rel=0.05)
        # Pauses by a prefill, and one that has another cause.
        replicas.begin_dispatch(replica, 'a', TOKENS, clocks.now())
        for _ in range(20 * speed_sharing.GAP_STRIDE):
            sharing.note_event_gap(replica, clocks.now() - 0.2, clocks.now())
        assert replica.slowed_until < clocks.now()
        replicas.end_dispatch(replica, 'a', clocks.now() - 1.0)
        sharing.note_event_gap(replica, clocks.now() - 0.2, clocks.now())
        assert replica.slowed_until > clocks.now()
        assert replica.speed is not None
        assert replica.speed.event_seconds == pytest.approx(0.03, rel=0.05)

    run(check)


def test_full_messages_repair_lost_ones() -> None:
    """A VM without samples of its own, which gets no message for a while."""

    async def check(fleet: Fleet) -> None:
        fleet.net.loss = 1.0
        await fleet.work(9.0, range(1, 9))
        assert fleet.get_speed(0, 'llm-0') is None
        fleet.net.loss = 0.0
        # No new samples, so that only full messages have rows.
        await asyncio.sleep(speed_sharing.FULL_INTERVAL + 0.1)
        fleet.check_learnt(0, 0.4)

    run(check)


def test_half_of_the_messages_suffice() -> None:
    async def check(fleet: Fleet) -> None:
        fleet.net.loss = 0.5
        await fleet.work(21.0)
        fleet.check_learnt(0, 0.15)

    run(check)


def test_vm_that_dies_leaves_no_samples_after_30_seconds() -> None:
    async def check(fleet: Fleet) -> None:
        await fleet.work(9.0)
        fleet.net.cut.update(list(fleet.net.links)[1:])
        await asyncio.sleep(30.0)
        estimator = fleet.sharing[0].get_estimator(SERVICE)
        for process in estimator.list_processes():
            speed = estimator.estimate(process, clocks.now())
            # Three samples of this VM, most of their weight gone.
            assert speed is not None
            assert speed.samples < 0.5
        assert fleet.get_speed(0, 'llm-0') is None

    run(check)


def test_restarted_replica_begins_with_the_mean_of_the_pool() -> None:
    """Guards against samples of the process before, also in messages that arrive later."""

    async def check(fleet: Fleet) -> None:
        await fleet.work(15.0)
        slow = fleet.get_speed(0, 'llm-0')
        assert slow is not None
        fleet.start_replica('llm-0', 2)
        assert fleet.get_speed(0, 'llm-0') is None
        link = fleet.net.links['10.0.0.1:0']
        row = messages.SpeedRow('llm-0', 1, 999, 99999, 99999)
        link.handlers[messages.ReplicaSpeeds]('00001', '', messages.ReplicaSpeeds([row]))
        await asyncio.sleep(speed_sharing.INTERVAL)
        rates = [fleet.get_speed(0, name) for name in fleet.names[1:]]
        mean = fleet.get_speed(0, 'llm-0')
        assert mean is not None
        assert mean < 0.8 * slow
        assert mean < sum(r for r in rates if r) / len(rates) * 1.1

    run(check)


def test_messages_of_another_release_are_read_as_far_as_they_are_known() -> None:
    """Rows with further fields, without the last ones, and messages that can't be parsed."""
    row = ['llm-0', 1, 10, 5000, 200]
    encode = msgspec.msgpack.encode
    for rows in ([[*row, 1, 30, 'new']], [row]):
        data = encode(['sender', 'a:1', ['sv', rows, 'new']])
        message = messages.decode(data).message
        assert isinstance(message, messages.ReplicaSpeeds)
        assert message.rows[0].prefill_time == 200
    with pytest.raises(msgspec.MsgspecError):
        messages.decode(encode(['sender', 'a:1', ['sv', [['llm-0', 1, 'x', 0, 0]]]]))

    async def check(fleet: Fleet) -> None:
        link = fleet.net.links['10.0.0.1:0']
        absurd = [
            messages.SpeedRow('llm-0', 1, 10, 0, 200, 0, 30),
            messages.SpeedRow('llm-0', 1, -5, 500, 200),
            messages.SpeedRow('unknown', 1, 10, 500, 200),
        ]
        link.handlers[messages.ReplicaSpeeds]('00001', '', messages.ReplicaSpeeds(absurd))
        estimator = fleet.sharing[0].get_estimator(SERVICE)
        process = fleet.pools[0].get('llm-0').process
        assert estimator.estimate(process, clocks.now()) is None

    run(check)


@pytest.mark.parametrize(('vms', 'size'), [(9, 45), (60, 670)])
def test_traffic_stays_within_its_share(vms: int, size: int) -> None:
    """Nine VMs before 45 replicas, and 60 active ones before 670; 14 KB/s is for all components."""

    async def check(fleet: Fleet) -> None:
        for _ in range(5):
            for name in fleet.names:
                fleet.run_prompt(0, name)
            await asyncio.sleep(2.0)
        # The last round may fall on either side of the end.
        assert 1_500 < sum(s for s, _ in fleet.sent) / 10 < 3_700
        assert max(len(m.rows) for _, m in fleet.sent) <= speed_sharing.MAX_ROWS
        if size > speed_sharing.MAX_ROWS:
            assert {r.name for _, m in fleet.sent for r in m.rows} == set(fleet.names)

    run(check, vms, size)


@pytest.mark.parametrize('vms', [3, 9])
def test_every_peer_gets_all_rows_in_turn(vms: int) -> None:
    """Guards against peers that get the same 60 of 120 rows each time and never the others."""
    received: dict[str, set[str]] = {}

    async def check(fleet: Fleet) -> None:
        link = fleet.net.links['10.0.0.1:0']
        send = link.send

        def note(address: str, message: messages.ReplicaSpeeds) -> None:
            received.setdefault(address, set()).update(r.name for r in message.rows)
            send(address, message)

        link.send = note  # type: ignore[method-assign,assignment]
        for _ in range(5):
            for name in fleet.names:
                fleet.run_prompt(0, name)
            await asyncio.sleep(speed_sharing.INTERVAL)
        assert len(received) == vms - 1
        assert all(names == set(fleet.names) for names in received.values())

    run(check, vms, 2 * speed_sharing.MAX_ROWS)
