"""Requests with keys run at most once, and are reported as not run only if that is true."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import random
import time
from collections.abc import Sequence
from typing import Any, cast

import hypothesis
import hypothesis.strategies as st
import pytest
import uuid_utils

from passpier import exceptions
from passpier.clients import store
from passpier.config import declarations
from passpier.core import attempts, claims, members
from passpier.daemon import call_builder, calls, idempotency, messages, peers, responses
from passpier.standins import network, virtual_time
from passpier.tests import fakes

ACCOUNT = declarations.Account(name='acme', key_digests=())
SERVICE = declarations.Service(name='acks', kind='plain', pool='p', repeatable=False)


def make_call(key: str, id: str) -> calls.Call:
    progress = attempts.RequestProgress(False, resumable=False)
    call = calls.Call(id, ACCOUNT, SERVICE, '/ack', 'cost', 0.0, progress)
    call.key = key
    return call


class Upstream:
    """The test oracle: counts the runs of each key."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.runs: collections.Counter[str] = collections.Counter()

    async def execute(self, call: calls.Call) -> responses.Response:
        """Run the call, refuse it, or lose its response."""
        roll = self.rng.random()
        await asyncio.sleep(self.rng.uniform(0.0, 0.05))
        if roll < 0.2:
            raise call.fail(exceptions.Code.NO_UPSTREAM, 'refused')
        call.progress.may_have_run = True
        if roll < 0.3:
            raise call.fail(exceptions.Code.UPSTREAM_FAILED, 'lost on the way')
        self.runs[call.key] += 1
        if roll < 0.5:
            raise call.fail(exceptions.Code.UPSTREAM_FAILED, 'answer lost')
        call.progress.completed = True
        return responses.Response(200, 'text/plain', call.key.encode())


class Fleet:
    """Daemons with a faulty store and a faulty network."""

    once_type: type[idempotency.IdempotentRunner] = idempotency.IdempotentRunner

    def __init__(self, seed: int, size: int = 3) -> None:
        self.rng = random.Random(seed)
        self.store = fakes.FaultyStore(self.rng)
        self.network = network.Network(self.rng)
        self.upstream = Upstream(self.rng)
        self.members = [
            members.Member(f'vm-{n}', f'inc{n}', '127.0.0.1', 8000 + n, 9000 + n, 'd')
            for n in range(size)
        ]
        self.daemons = [self.make_daemon(m) for m in self.members]

    def make_daemon(self, member: members.Member) -> idempotency.IdempotentRunner:
        membership = members.Membership(member, 1.0, 0.0)
        for other in self.members:
            membership.add(other, 0.0)
        link = self.network.connect(member)
        daemon = self.once_type(
            membership,
            cast(peers.Peers, link),
            self.store,
            900.0,
            self.upstream.execute,
            lambda call: True,
        )

        async def handle_forward(
            sender: str, address: str, message: messages.ForwardRequest
        ) -> None:
            await answer_forward(daemon, link, address, message)

        link.register_handler(messages.ForwardRequest, handle_forward)
        return daemon

    def restart(self, number: int) -> None:
        """Restart a daemon at the same address as a new incarnation with an empty key table."""
        old = self.members[number]
        self.members[number] = members.Member(
            old.name, old.incarnation + 'x', old.ip, old.caller_port, old.peer_port, 'd'
        )
        self.daemons[number] = self.make_daemon(self.members[number])


async def answer_forward(
    daemon: idempotency.IdempotentRunner,
    link: network.Link,
    address: str,
    message: messages.ForwardRequest,
) -> None:
    try:
        answer = await daemon.run(make_call(message.key, message.id))
        forwarded = messages.ForwardResponse(message.id, answer.status, '', answer.body, b'')
    except calls.RequestFailedError as error:
        encoded = idempotency.msgspec.json.encode(error.failure)
        forwarded = messages.ForwardResponse(message.id, 0, '', b'', encoded)
    link.send(address, forwarded)


Results = dict[str, list[exceptions.Outcome]]


async def send(fleet: Fleet, number: int, key: str, results: Results) -> None:
    """Send a key to a daemon; an outcome of `not run` must hold for earlier sends, too."""
    ran_before = fleet.upstream.runs[key]
    try:
        answer = await fleet.daemons[number].run(make_call(key, str(uuid_utils.uuid4())))
        assert answer.body == key.encode()
        results[key].append(exceptions.Outcome.RAN)
    except calls.RequestFailedError as error:
        results[key].append(error.failure.outcome)
        if error.failure.outcome is exceptions.Outcome.NOT_RUN:
            assert not ran_before, 'said "not run" of a key that had run'


async def run_steps(fleet: Fleet, steps: list[tuple[Any, ...]]) -> None:
    results: Results = collections.defaultdict(list)
    tasks = []
    keys = [f'order-{n}' for n in range(3)]
    keys += [f'{m.incarnation}.{uuid_utils.uuid7()}' for m in fleet.members]
    for kind, a, b in steps:
        if kind == 'send':
            tasks.append(asyncio.ensure_future(send(fleet, a, keys[b], results)))
        elif kind == 'store':
            fleet.store.down = bool(a == 0)
            fleet.store.loss = 0.3 * b / 5
        elif kind == 'network':
            fleet.network.loss = 0.3 * b / 5
            fleet.network.cut = {fleet.members[a].peer} if b > 3 else set()
        elif kind == 'restart':
            fleet.restart(a)
        await asyncio.sleep(0.02 * b)
    await asyncio.gather(*tasks)
    assert all(count <= 1 for count in fleet.upstream.runs.values()), fleet.upstream.runs


STEPS = st.lists(
    st.tuples(
        st.sampled_from(['send', 'send', 'send', 'store', 'network', 'restart']),
        st.integers(0, 2),
        st.integers(0, 5),
    ),
    max_size=25,
)


@hypothesis.settings(max_examples=400)
@hypothesis.given(STEPS, st.integers(0, 1000))
def test_each_key_runs_at_most_once(steps: list[tuple[Any, ...]], seed: int) -> None:
    async def run() -> None:
        await run_steps(Fleet(seed), steps)

    virtual_time.run(run())


class RunsKeysOfOthers(idempotency.IdempotentRunner):
    """Broken variant: runs a key here when its home daemon does not answer."""

    async def _forward(self, call: calls.Call, incarnation: str) -> responses.Response:
        try:
            return await super()._forward(call, incarnation)
        except calls.RequestFailedError as error:
            if error.failure.outcome is exceptions.Outcome.UNKNOWN:
                return await self._execute(call)
            raise


class RunsUnclaimedKeys(idempotency.IdempotentRunner):
    """Broken variant: runs an opaque key whose claim got no response."""

    async def _claim(self, name: str) -> str:
        try:
            return await super()._claim(name)
        except calls.RequestFailedError:
            return self._membership.own.incarnation


@pytest.mark.parametrize('kind', [RunsKeysOfOthers, RunsUnclaimedKeys])
def test_broken_variants_are_caught(kind: type[idempotency.IdempotentRunner]) -> None:
    class BrokenFleet(Fleet):
        once_type = kind

    def find_failure() -> None:
        for seed in range(300):
            rng = random.Random(seed)
            kinds = ['send', 'send', 'send', 'store', 'network', 'restart']
            steps = [(rng.choice(kinds), rng.randrange(3), rng.randrange(6)) for _ in range(25)]

            async def run(seed: int = seed, steps: list[tuple[Any, ...]] = steps) -> None:
                await run_steps(BrokenFleet(seed), steps)

            virtual_time.run(run())

    with pytest.raises(AssertionError):
        find_failure()


def test_opaque_keys_are_claimed_in_batches() -> None:
    async def run() -> tuple[int, int]:
        fleet = Fleet(1)
        fleet.upstream.rng = random.Random(5)
        results: Results = collections.defaultdict(list)
        await asyncio.gather(*(send(fleet, 0, f'o{n}', results) for n in range(200)))
        return fleet.store.writes, len(results)

    writes, sent = virtual_time.run(run())
    print(f'{sent} opaque keys claimed at once, {writes} store writes with releases')
    assert sent == 200
    assert writes < 100


def test_homed_keys_need_no_store_and_opaque_ones_do() -> None:
    async def run() -> dict[str, int]:
        fleet = Fleet(2)
        fleet.store.down = True
        results: Results = collections.defaultdict(list)
        for n in range(50):
            home = fleet.members[n % 3].incarnation
            await send(fleet, n % 3, f'{home}.{uuid_utils.uuid7()}', results)
            await send(fleet, (n + 1) % 3, f'{home}.{uuid_utils.uuid7()}', results)
        homed = sum(o is exceptions.Outcome.RAN for r in results.values() for o in r)
        results.clear()
        for n in range(20):
            await send(fleet, n % 3, f'order-{n}', results)
        opaque = sum(o is exceptions.Outcome.RAN for r in results.values() for o in r)
        refused = sum(o is exceptions.Outcome.UNKNOWN for r in results.values() for o in r)
        assert not any(fleet.upstream.runs[f'order-{n}'] for n in range(20))
        return {'homed': homed, 'opaque': opaque, 'opaque_refused': refused}

    counts = virtual_time.run(run())
    print(f'store down: {counts["homed"]} of 100 homed, {counts["opaque"]} of 20 opaque served')
    assert counts['homed'] >= 30
    assert (counts['opaque'], counts['opaque_refused']) == (0, 20)


def test_a_key_of_an_earlier_incarnation_stays_unknown() -> None:
    async def run() -> list[exceptions.Outcome]:
        fleet = Fleet(3)
        key = f'{fleet.members[0].incarnation}.{uuid_utils.uuid7()}'
        fleet.restart(0)
        results: Results = collections.defaultdict(list)
        for number in range(3):
            await send(fleet, number, key, results)
        return results[key]

    assert set(virtual_time.run(run())) == {exceptions.Outcome.UNKNOWN}


def test_a_key_outside_the_retention_is_never_called_not_run() -> None:
    table: claims.KeyTable[responses.Response] = claims.KeyTable(10.0)
    now = time.time()
    assert table.begin('k', now - 11, now) is claims.Verdict.EXPIRED
    with contextlib.suppress(KeyError):
        assert idempotency._FAILURES[claims.Verdict.EXPIRED].outcome is exceptions.Outcome.UNKNOWN


def test_a_key_is_required_and_bounded() -> None:
    for key in ('', 'x' * 257):
        missing = call_builder._check_key(False, key)
        assert missing is not None
        assert missing.outcome is exceptions.Outcome.NOT_RUN


class SlowUpstream(Upstream):
    """Delays each call, then runs it for a while."""

    async def execute(self, call: calls.Call) -> responses.Response:
        await asyncio.sleep(self.rng.uniform(0.0, 0.2))
        self.runs[call.key] += 1
        call.progress.may_have_run = True
        await asyncio.sleep(self.rng.uniform(0.0, 0.2))
        return responses.Response(200, 'text/plain', call.key.encode())


async def cancel_one(seed: int) -> collections.Counter[exceptions.Outcome]:
    """Cancel all runs of a daemon at a random time; return the reported outcomes."""
    fleet = Fleet(seed)
    fleet.upstream = SlowUpstream(fleet.rng)
    for daemon in fleet.daemons:
        daemon._execute = fleet.upstream.execute
    home = fleet.members[0].incarnation
    keys = [f'order-{n}' for n in range(3)] + [f'{home}.{uuid_utils.uuid7()}' for _ in range(3)]
    results: Results = collections.defaultdict(list)
    sent = [asyncio.ensure_future(send(fleet, 0, key, results)) for key in keys]
    sent += [asyncio.ensure_future(send(fleet, 1, key, results)) for key in keys[3:]]
    await asyncio.sleep(fleet.rng.uniform(0.0, 0.3))
    await fleet.daemons[0].cancel_all(1.0)
    await asyncio.wait_for(asyncio.gather(*sent), 1.0)
    reported = collections.Counter(o for outcomes in results.values() for o in outcomes)
    for key in keys:
        if exceptions.Outcome.NOT_RUN in results[key]:
            assert not fleet.upstream.runs[key]
            await send(fleet, 2, key, results)
            # The claim was released, so another daemon may run the key.
            assert key not in keys[:3] or results[key][-1] is exceptions.Outcome.RAN
        assert fleet.upstream.runs[key] <= 1
    return reported


def test_cancelling_at_any_time_reports_true_outcomes() -> None:
    reported: collections.Counter[exceptions.Outcome] = collections.Counter()
    for seed in range(200):
        reported += virtual_time.run(cancel_one(seed))
    print(f'cancelled at a random time: {dict(reported)}')
    assert set(reported) == set(exceptions.Outcome)


class SlowStore(store.MemoryStore):
    """Answers each write after half a second."""

    async def write(
        self,
        operations: Sequence[store.Put | store.Delete],
        conditions: Sequence[store.ExpectedRevision] = (),
    ) -> bool:
        await asyncio.sleep(0.5)
        return await super().write(operations, conditions)


@pytest.mark.parametrize('claimed', [[], ['cancelled'], ['other']])
def test_a_cancelled_claim_leaves_the_others_of_its_write_their_results(
    claimed: list[str],
) -> None:
    """Guards against a writer that ends when a caller disconnects while its claim is written."""

    async def run() -> None:
        slow = SlowStore()
        for name in claimed:
            elsewhere = idempotency.Claimer(slow, 'other-incarnation', claims.KeyTable(900.0))
            await elsewhere.claim(name)
        claimer = idempotency.Claimer(slow, 'incarnation', claims.KeyTable(900.0))
        names = ['first', 'cancelled', 'other', 'last']
        tasks = [asyncio.ensure_future(claimer.claim(name)) for name in names]
        await asyncio.sleep(0.3)
        tasks[1].cancel()
        results = await asyncio.wait_for(asyncio.gather(*tasks, return_exceptions=True), 10.0)
        assert isinstance(results[1], asyncio.CancelledError)
        assert [r for n, r in enumerate(results) if n != 1] == [
            'incarnation',
            'other-incarnation' if 'other' in claimed else 'incarnation',
            'incarnation',
        ]

    virtual_time.run(run())


class LateDeleteStore(fakes.FaultyStore):
    """Does not answer deletions, and applies them later."""

    async def write(
        self,
        operations: Sequence[store.Put | store.Delete],
        conditions: Sequence[store.ExpectedRevision] = (),
    ) -> bool:
        if not isinstance(operations[0], store.Delete):
            return await super().write(operations, conditions)

        def delete() -> None:
            asyncio.ensure_future(super(LateDeleteStore, self).write(operations, conditions))

        asyncio.get_running_loop().call_later(0.5, delete)
        raise exceptions.StoreError('no answer')


def test_a_late_release_does_not_delete_a_renewed_claim() -> None:
    """A late deletion of a claim must not delete the renewed claim of the next run."""

    async def run() -> int:
        fleet = Fleet(4)
        fleet.store.__class__ = LateDeleteStore
        runs = []

        async def execute(call: calls.Call) -> responses.Response:
            runs.append(call.id)
            if len(runs) == 1:
                raise call.fail(exceptions.Code.NO_UPSTREAM, 'refused')
            return responses.Response(200, 'text/plain', b'')

        for daemon in fleet.daemons:
            daemon._execute = execute
        for number, wait in ((0, 0.0), (0, 1.0), (1, 1.0)):
            with contextlib.suppress(calls.RequestFailedError):
                await fleet.daemons[number].run(make_call('order', f'r{number}'))
            await asyncio.sleep(wait)
        return len(runs) - 1

    assert virtual_time.run(run()) == 1
