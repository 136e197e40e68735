"""Runs seeded load and faults against a deployment on loopback, and checks invariants from outside.

The checks use what clients and replicas observed: a request that may run at most once ran at most
once, a request refused as "not run" did not run, responses are complete and belong to their
request, revoked keys run nothing, and only one router sends orders at a time.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import random
import sys
from collections.abc import Awaitable, Callable

import fire

from passpier import clocks
from passpier.clients import exchanges
from passpier.platform import names
from passpier.standins.platform import (
    attempt_limits,
    backpressure,
    deployment,
    invariants,
    partitions,
    releases,
    replica,
    returns,
    software_versions,
)

MEAN_FAULT_INTERVAL = 0.25
"""Mean seconds between the starts of two faults, which may overlap."""

REVOKE_AFTER = 6
"""Number of faults after which a key may be revoked."""

SETTLE_SECONDS = 1.5
"""Seconds between the start of the last fault and the end of the load."""

REPLACEMENT_SECONDS = 0.5
"""Seconds until all routers know that another replica has taken over an address."""

PATIENCE_MS = 1500
"""Timeout of clients in milliseconds."""

ORDER_GAP = 0.5
"""Minimum seconds between orders of two routers, as in the deployment's options."""


@dataclasses.dataclass(slots=True)
class Report:
    """The result of a run."""

    seed: int
    outcomes: list[invariants.RequestOutcome] = dataclasses.field(default_factory=list)
    faults: list[str] = dataclasses.field(default_factory=list)
    violations: list[str] = dataclasses.field(default_factory=list)
    streams: str = ''
    """What became of the streams of services with several software versions."""

    resumed_behind: int = 0
    """Streams that were resumed at a router that lacked a version of their service."""

    retries: list[invariants.RetryPeak] = dataclasses.field(default_factory=list)
    """How near each service came to the allowance of retries."""

    bounds: list[invariants.BoundUse] = dataclasses.field(default_factory=list)
    """How near the run came to other bounds."""

    def render(self) -> str:
        """Return the report as text."""
        lines = [f'seed {self.seed}: {len(self.outcomes)} requests, {len(self.faults)} troubles']
        kinds = sorted({a.kind for a in self.outcomes})
        for kind in kinds:
            mine = [a for a in self.outcomes if a.kind == kind]
            counts = collections.Counter(a.status for a in mine)
            times = sorted(a.seconds for a in mine if a.status == 200)
            middle = times[len(times) // 2] * 1000 if times else 0.0
            told = ', '.join(f'{status}: {count}' for status, count in sorted(counts.items()))
            lines.append(f'  {kind:8} {told}; median of answers {middle:.0f} ms')
        lines += [f'  {self.streams}'] if self.streams else []
        lines += [f'  most retries in a window: {one.render()}' for one in self.retries]
        lines += [f'  nearest to a bound: {one.render()}' for one in self.bounds]
        lines += [f'  broken: {text}' for text in self.violations] or ['  no promise broken']
        return '\n'.join(lines)


class FaultRun:
    """One run with a seed."""

    def __init__(
        self,
        running: deployment.Deployment,
        seed: int,
        rate: float,
        asks: bool = False,
        returns_from_copies: bool = False,
        cuts: bool = False,
        versions: bool = False,
    ) -> None:
        self._running = running
        self._rng = random.Random(seed)
        self._rate = rate
        self._revoked_at: dict[str, float] = {}
        self._version = 1
        self._spare = 0
        self._with_signals = asks
        self._disturbances: list[invariants.Disturbance] = []
        self._backpressure = backpressure.BackpressureInjector(
            running, self, random.Random(f'signal {seed}')
        )
        self._with_returns = returns_from_copies
        self._returns = returns.ReturnInjector(running, self, random.Random(f'return {seed}'))
        self._with_versions = versions
        self._versions = software_versions.VersionInjector(
            running,
            self,
            random.Random(f'software {seed}'),
            self._map_addresses,
            self._list_versions,
        )
        self._releases = releases.ReleaseInjector(
            running,
            self,
            random.Random(f'release {seed}'),
            self._versions,
            self._map_addresses,
            lambda rng: releases.open_partition(running, self, rng),
        )
        self._with_cuts = cuts
        self._cut_rng = random.Random(f'cut {seed}')
        self.report = Report(seed)

    def log_fault(self, what: str, seconds: float | None = None) -> None:
        """Record a fault."""
        self.report.faults.append(what)

    async def run(self, seconds: float) -> Report:
        """Run load and faults for `seconds`, then check the invariants."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        series = [self._inject_faults(ends_at - SETTLE_SECONDS)]
        if self._with_signals:
            series.append(self._backpressure.run(ends_at))
        if self._with_returns:
            series.append(self._returns.run(ends_at - SETTLE_SECONDS))
        if self._with_cuts:
            series.append(self._inject_cuts(ends_at - SETTLE_SECONDS))
        if self._with_versions:
            self._versions.add_service()
            series.append(self._versions.run(ends_at - SETTLE_SECONDS))
            series.append(self._releases.run(ends_at - SETTLE_SECONDS))
        faults = asyncio.gather(*series)
        pending: set[asyncio.Task[None]] = set()
        number = 0
        while loop.time() < ends_at:
            task = asyncio.ensure_future(self._ask(number))
            pending.add(task)
            task.add_done_callback(pending.discard)
            number += 1
            await asyncio.sleep(self._rng.expovariate(self._rate))
        await asyncio.gather(faults, *pending)
        self._check()
        return self.report

    def _map_addresses(self) -> dict[str, str]:
        known = self._running.routers
        return {r.options.name: r.options.caller for r in known if not r.stopping}

    def _list_versions(self, router: str, service: str) -> set[str]:
        """Return the versions of a service that a router has heard of."""
        known = {r.options.name: r.pools for r in self._running.routers}
        return known[router].list_versions(service, 0.0)

    async def _ask(self, number: int) -> None:
        kind = self._rng.choice(['stream', 'resume', 'safe', 'once'])
        key = self._rng.choice(['secret-1', 'secret-2'])
        entry = self._rng.randrange(len(self._running.routers))
        headers = deployment.make_prompt(self._rng) if kind in ('stream', 'resume') else []
        began = clocks.now()
        status, body, echoed_id = 0, b'', ''
        id = f'n{number}'
        router = self._running.routers[entry].options.name
        try:
            reply = await self._running.ask(
                f'/{kind}/x', entry, id=id, key=key, headers=headers, patience_ms=PATIENCE_MS
            )
            status, body = reply.status, reply.body
            echoed_id = reply.headers.get(names.REQUEST_ID) or 'nobody'
        except exchanges.ExchangeError:
            # A closed connection guarantees nothing; the replicas know what ran.
            status = 0
        seconds = clocks.now() - began
        self.report.outcomes.append(
            invariants.RequestOutcome(
                id, kind, key, began, status, body, seconds, echoed_id, router, PATIENCE_MS / 1000
            )
        )

    async def _inject_faults(self, ends_at: float) -> None:
        loop = asyncio.get_running_loop()
        kinds: list[Callable[[], Awaitable[None]]] = [
            self._inject_replica_fault,
            self._inject_replica_fault,
            self._inject_replica_fault,
            self._silence_replica,
            self._replace_replica,
            self._drain_replica,
            self._take_store_down,
            self._lose_store_answers,
            self._compact_history,
            self._release_version,
            self._revoke_key,
            self._stop_router,
        ]
        started: list[asyncio.Task[None]] = []
        while loop.time() < ends_at:
            fault = self._rng.choice(kinds)
            self.report.faults.append(fault.__name__.removeprefix('_'))
            started.append(asyncio.ensure_future(_run(fault)))
            await asyncio.sleep(self._rng.expovariate(1 / MEAN_FAULT_INTERVAL))
        await asyncio.gather(*started)
        self._running.faults.down = False

    def _pick(self) -> replica.Replica:
        return self._rng.choice(list(self._running.replicas.values()))

    async def _inject_replica_fault(self) -> None:
        fault = self._rng.choice(['refuse', 'fail', 'lose', 'cut', 'swap', 'lie'])
        setattr(self._pick().faults, fault, self._rng.randint(2, 6))

    async def _silence_replica(self) -> None:
        chosen = self._pick()
        began = clocks.now()
        chosen.faults.unreachable = True
        await asyncio.sleep(self._rng.uniform(0.2, 1.5))
        chosen.faults.unreachable = False
        self._disturbances.append(invariants.Disturbance(chosen.id, began, clocks.now()))

    async def _replace_replica(self) -> None:
        chosen = self._pick()
        chosen.id = f'{chosen.id}-again'
        now = clocks.now()
        self._disturbances.append(invariants.Disturbance(chosen.id, now, now + REPLACEMENT_SECONDS))
        self._running.replicas = {r.id: r for r in self._running.replicas.values()}
        self._running.write_entry(chosen.id)
        await asyncio.sleep(self._rng.uniform(0.0, 0.5))
        self._running.store.remove(names.REPLICA_PREFIX + chosen.id.removesuffix('-again'))

    async def _drain_replica(self) -> None:
        await self.begin_replacement(self._pick())

    async def begin_replacement(self, chosen: replica.Replica) -> None:
        """Add a replica of the same service, and let the chosen one drain."""
        self._spare += 1
        fresh = chosen.build_successor(f'spare-{self._spare}')
        self._running.add_replica(fresh)
        chosen.state = 'draining'
        self._running.write_entry(chosen.id)

    async def _take_store_down(self) -> None:
        self._running.faults.down = True
        await asyncio.sleep(self._rng.uniform(0.2, 3.0))
        self._running.faults.down = False

    async def _lose_store_answers(self) -> None:
        faults = self._running.faults
        faults.lose_answers = self._rng.randint(0, 3)
        faults.late_effects = self._rng.randint(0, 3)

    async def _compact_history(self) -> None:
        self._running.store.compact_history()

    async def _release_version(self) -> None:
        self._version += 1
        self._running.release_version(self._version)

    async def _revoke_key(self) -> None:
        # Not early: half of the requests use this key and are only refused afterwards.
        if len(self.report.faults) > REVOKE_AFTER and 'secret-2' not in self._revoked_at:
            accounts = self._running.configuration['tenants']
            self._running.configure(tenants=accounts[:1])
            self._revoked_at['secret-2'] = clocks.now()

    async def _inject_cuts(self, ends_at: float) -> None:
        """Cut routers off from some or all replicas, again and again; cuts may overlap."""
        rng = self._cut_rng
        healing = []
        while clocks.now() < ends_at:
            name = rng.choice(list(self._running.router_pools))
            service = rng.choice(['llm', 'app', ''])
            known = self._running.replicas.values()
            ids = [r.id for r in known if r.service == service or not service]
            self.report.faults.append(f'cut {name} off from {service or "everything"}')
            self._running.cut_off(name, ids, rng.choice(list(partitions.Cut)))
            pool = self._running.router_pools[name]
            healing.append(asyncio.ensure_future(_heal(pool, rng.uniform(0.3, 3.0))))
            await asyncio.sleep(rng.uniform(0.3, 1.5))
        await asyncio.gather(*healing)

    async def _stop_router(self) -> None:
        if len(self._running.routers) < 4:
            number = len(self._running.routers)
            self._running.add_router(f'vm-{number}', 'zone-0')
        self._rng.choice(self._running.routers[:1]).begin_stop()

    def _check(self) -> None:
        if self._with_versions:
            self.report.streams = self._versions.describe_streams()
            self.report.resumed_behind = self._versions.resumed_behind
        self.report.violations += self._versions.find_violations()
        self.report.violations += invariants.find_violations(
            self.report.outcomes,
            self._running.replicas.values(),
            self._revoked_at,
            self._running.routers[0].options.key_bound,
            ORDER_GAP,
        )
        options = self._running.routers[0].options
        self.report.retries = invariants.measure_retries(
            self.report.outcomes,
            self._running.replicas.values(),
            self._running.map_services(),
            invariants.RetryAllowance(
                options.retry_ratio, options.retry_slack, options.retry_window
            ),
        )
        self.report.violations += invariants.find_retry_excess(self.report.retries)
        outcomes, replicas = self.report.outcomes, self._running.replicas.values()
        self.report.bounds += invariants.measure_revocations(
            outcomes, replicas, self._revoked_at, options.key_bound
        )
        self.report.bounds += invariants.measure_limits(
            outcomes, replicas, self._backpressure.limits, self._disturbances
        )
        allowed = self._running.map_max_attempts()
        self.report.bounds += attempt_limits.measure(
            outcomes, replicas, allowed, self._disturbances
        )
        self.report.violations += attempt_limits.find_violations(
            outcomes, replicas, allowed, self._disturbances
        )
        self.report.violations += invariants.find_backpressure_violations(
            self.report.outcomes,
            self._running.replicas.values(),
            self._backpressure.limits,
            self._disturbances,
        )


async def _heal(pool: partitions.PartitionedPool, seconds: float) -> None:
    await asyncio.sleep(seconds)
    pool.heal()


async def _run(fault: Callable[[], Awaitable[None]]) -> None:
    await fault()


async def play(
    seed: int,
    seconds: float,
    rate: float,
    routers: int = 3,
    asks: bool = False,
    returns_from_copies: bool = False,
    cuts: bool = False,
    versions: bool = False,
) -> Report:
    """Run one seed on a new deployment.

    With `asks` replicas send backpressure signals, with `returns_from_copies` the store returns
    from older copies, with `cuts` routers are cut off from replicas, with `versions` replicas run
    several software versions, and some routers are out of step while a new one joins.
    """
    async with deployment.running(routers) as running:
        fault_run = FaultRun(running, seed, rate, asks, returns_from_copies, cuts, versions)
        return await fault_run.run(seconds)


def main(
    seed: int = 1,
    count: int = 1,
    seconds: float = 8.0,
    rate: float = 60.0,
    asks: bool = False,
    returns: bool = False,
    cuts: bool = False,
    versions: bool = False,
) -> None:
    """Run `count` seeds from `seed` on, `rate` requests a second; exit with 1 on a violation."""
    broken = 0
    for number in range(seed, seed + count):
        report = asyncio.run(play(number, seconds, rate, 3, asks, returns, cuts, versions))
        broken += bool(report.violations)
        print(report.render(), flush=True)
    sys.exit(1 if broken else 0)


if __name__ == '__main__':
    fire.Fire(main)
