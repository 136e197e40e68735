"""Injects seeded faults, from outside, into routers that run as separate processes.

The store and the replicas are stand-ins in this process. Proxies in front of the store, of each
replica and of each router can delay, block, silence and reset connections. Routers are paused,
killed, stopped, reloaded and restarted by signals, in series that overlap. With planned work only,
every request that is cut counts as a violation. What clients and replicas observed is checked
against the invariants (`invariants`), and everything has to recover in the end.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import logging
import pathlib
import random
import shutil
import sys
import tempfile

import fire

from passpier import clocks
from passpier.clients import connections, exchanges
from passpier.standins.platform import (
    attempt_limits,
    backpressure,
    clients,
    deployment,
    fault_injection,
    invariants,
    lulls,
    outages,
    process_gaps,
    releases,
    remote_replicas,
    replica,
    restarts,
    returns,
    routers,
    software_versions,
    stops,
    suspensions,
)

START_SECONDS = 20.0
"""Seconds within which all routers have to be ready; starting many of them loads the machine."""

STALL_CHECK_INTERVAL = 0.05
"""Seconds between checks for stalls of the soak's own event loop."""

STALL_THRESHOLD = 0.5
"""Seconds of a stall that count as a fault: clients, replicas and proxies stall with the loop."""

PROGRAM = routers.PROGRAM
OUTAGE_ATTEMPTS = 4
"""Replicas that a request may be sent to during outages, and replicas of each service: each request
wants several retries."""

OUTAGE_KINDS = ('resume', 'safe')
"""Kinds of short requests during outages: those that may be repeated after they have run."""

RECOVERY_SECONDS = 12.0
"""Seconds after the last fault within which everything has to recover."""


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The parameters of a run."""

    seed: int
    seconds: float = 8.0
    routers: int = 3
    rate: float = 40.0
    """Short requests a second."""

    planned: bool = False
    """Whether routers see planned work only, so that each cut request counts."""

    lives: bool = False
    """Whether replicas restart under their ids and other writers leave malformed entries."""

    asks: bool = False
    """Whether replicas send backpressure signals in their responses."""

    returns: bool = False
    """Whether the store returns from older copies."""

    versions: bool = False
    """Whether replicas of a service run several software versions."""

    outages: bool = False
    """Whether all replicas of a service fail for a while, again and again."""

    scarcity: bool = False
    """Whether all replicas of a service send a limit for a while, again and again."""

    lulls: bool = False
    """Whether the traffic stops while a service is gone, again and again."""

    suspensions: bool = False
    """Whether replicas are processes of their own that are suspended, again and again."""

    disturbed: bool = True
    """Whether faults of routers, links and the store come beside outages, lulls or suspensions."""

    weights: bool = True
    """Whether new weights are released, again and again."""

    program: str = PROGRAM
    """The module that runs as a router."""


@dataclasses.dataclass(slots=True)
class Report:
    """The result of a run."""

    seed: int
    outcomes: list[invariants.RequestOutcome] = dataclasses.field(default_factory=list)
    faults: list[tuple[float, str]] = dataclasses.field(default_factory=list)
    violations: list[str] = dataclasses.field(default_factory=list)
    streams: str = ''
    """What became of the streams of the service with several software versions."""

    retries: list[invariants.RetryPeak] = dataclasses.field(default_factory=list)
    """How near each service came to the allowance of retries."""

    counted: str = ''
    """How many retries arrived, and how many the routers logged."""

    bounds: list[invariants.BoundUse] = dataclasses.field(default_factory=list)
    """How near the run came to other bounds."""

    backpressure_violations: list[str] = dataclasses.field(default_factory=list)
    """The violations of backpressure signals, which `violations` contains as well."""

    def render(self) -> str:
        """Return the report as text."""
        counts = collections.Counter(a.status for a in self.outcomes)
        told = ', '.join(f'{status}: {count}' for status, count in sorted(counts.items()))
        lines = [f'seed {self.seed}: {len(self.faults)} troubles; answers {told}']
        lines += [f'  {self.streams}'] if self.streams else []
        lines += [f'  most retries in a window: {one.render()}' for one in self.retries]
        lines += [f'  {self.counted}'] if self.counted else []
        lines += [f'  nearest to a bound: {one.render()}' for one in self.bounds]
        lines += [f'  broken: {text}' for text in self.violations]
        if self.violations:
            lines += [f'  {at:6.2f} s {what}' for at, what in self.faults]
        return '\n'.join(lines)


class Soak:
    """One run with a seed."""

    def __init__(self, plan: Plan, folder: pathlib.Path) -> None:
        seed = plan.seed
        rng = random.Random(seed)
        self._plan = plan
        self._folder = folder
        self._deployment = deployment.Deployment()
        self._pool = connections.Pool()
        self._routers: list[routers.RouterProcess] = []
        self._targets = fault_injection.FaultTargets(self._deployment, self._routers, {})
        self._clients = clients.Clients(self._deployment, self._routers, seed, rng)
        self._faults = fault_injection.FaultInjector(self._targets, rng)
        self._rollouts = fault_injection.RolloutInjector(self._targets, random.Random(seed))
        self._silences = fault_injection.SilenceInjector(
            self._targets, self._faults, random.Random(f'silence {seed}')
        )
        self._stops = stops.StopInjector(self._targets, self._faults, random.Random(f'stop {seed}'))
        self._restarts = restarts.RestartInjector(
            self._targets, self._faults, random.Random(f'life {seed}')
        )
        self._foreign_entries = restarts.ForeignEntryInjector(
            self._targets, self._faults, random.Random(f'foreign {seed}')
        )
        self._backpressure = backpressure.BackpressureInjector(
            self._deployment, self._faults, random.Random(f'signal {seed}')
        )
        self._returns = returns.ReturnInjector(
            self._deployment, self._faults, random.Random(f'return {seed}')
        )
        self._versions = software_versions.VersionInjector(
            self._deployment,
            self._faults,
            random.Random(f'software {seed}'),
            self._map_addresses,
        )
        self._gaps = process_gaps.GapInjector(self._targets, self._faults)
        self._releases = releases.ReleaseInjector(
            self._deployment,
            self._faults,
            random.Random(f'release {seed}'),
            self._versions,
            self._map_addresses,
            self._gaps.open_gap,
        )
        self._outages = outages.OutageInjector(
            self._targets, self._faults, random.Random(f'outage {seed}')
        )
        self._processes: list[remote_replicas.ReplicaProcess] = []
        """The replicas that run as processes of their own."""

        self._suspensions = suspensions.SuspensionInjector(
            self._processes, self._faults, random.Random(f'suspension {seed}')
        )
        self._lulls = lulls.LullInjector(
            self._targets, self._faults, self._clients, random.Random(f'lull {seed}')
        )
        self.report = Report(seed)

    async def run(self) -> Report:
        """Start everything, inject faults under load, and check."""
        try:
            await self._start()
            await self._run_scenario(self._plan.seconds)
            await self._check_recovery()
        finally:
            for router in self._routers:
                await router.close()
            for process in self._processes:
                process.close()
            for link in self._targets.links.values():
                await link.stop()
            await self._deployment.stop()
            self._pool.close()
        self._check_invariants()
        return self.report

    def _check_invariants(self) -> None:
        """Add every violation of an invariant to the report."""
        self.report.outcomes = self._clients.outcomes
        self.report.faults = self._faults.applied
        self.report.violations += self._faults.violations
        if self._plan.versions:
            self.report.streams = self._versions.describe_streams()
            self.report.streams += f'\n  {self._describe_lookups()}'
        self.report.violations += self._versions.find_violations()
        self.report.violations += invariants.find_violations(
            self.report.outcomes,
            self._deployment.replicas.values(),
            self._faults.revoked,
            routers.KEY_BOUND,
            routers.ORDER_GAP,
            self._faults.resumptions,
        )
        self.report.violations += invariants.find_outdated_runs(
            self.report.outcomes,
            self._deployment.replicas.values(),
            self._targets.released,
            routers.VERSION_BOUND,
            self._faults.disturbances,
            self._versions.routers,
        )
        self.report.violations += invariants.find_lost_requests(
            self.report.outcomes,
            self._deployment.replicas.values(),
            self._faults.stops,
            routers.STOP_BOUND,
            self._faults.unplanned,
            {r.name: r.client_link.refused for r in self._routers},
        )
        self.report.violations += invariants.find_runs_after_overwrite(
            self.report.outcomes,
            self._deployment.replicas.values(),
            self._foreign_entries.overwritten,
            self._faults.disturbances,
            self._faults.unplanned,
            self._versions.routers,
        )
        self.report.retries = invariants.measure_retries(
            self.report.outcomes,
            self._deployment.replicas.values(),
            self._deployment.map_services(),
            self._retry_allowance,
        )
        self.report.violations += invariants.find_retry_excess(self.report.retries)
        self.report.counted = self._describe_retries()
        self.report.violations += attempt_limits.find_violations(
            self.report.outcomes,
            self._deployment.replicas.values(),
            self._deployment.map_max_attempts(),
            self._faults.disturbances,
        )
        self.report.bounds = self._measure_bounds()
        self.report.backpressure_violations = invariants.find_backpressure_violations(
            self.report.outcomes,
            self._deployment.replicas.values(),
            self._backpressure.limits,
            self._faults.disturbances,
        )
        self.report.violations += self.report.backpressure_violations
        if self._deployment.decoy.arrival_count:
            self.report.violations.append(
                f'{self._deployment.decoy.arrival_count} requests were sent to entries of other '
                'writers'
            )

    def _describe_lookups(self) -> str:
        """Return how many lookups of streams met a state from before the release."""
        found = [
            lookup
            for router in self._routers
            for lookup in process_gaps.list_lookups(router)
            if lookup.service in self._releases.joined_at
        ]
        behind = [x for x in found if x.proved_at < self._releases.joined_at[x.service] <= x.at]
        inferred = sum(x.source == 'only version' for x in behind)
        return (
            f'{len(found)} lookups of streams in releases, {len(behind)} with a state from before '
            f'the new version, {inferred} of these inferred'
        )

    def _describe_retries(self) -> str:
        """Return how many retries arrived and were logged, by service; a kill may cut a log."""
        logged = collections.Counter(
            line['service'] for router in self._routers for line in router.list_events('retry sent')
        )
        arrived = invariants.count_retries(self._deployment.replicas.values())
        return ', '.join(
            f'{service}: {count} retries arrived, {logged[service]} logged'
            for service, count in arrived.items()
            if count or logged[service]
        )

    def _measure_bounds(self) -> list[invariants.BoundUse]:
        """Return how near the run came to the bounds of keys, weights, limits and attempts."""
        outcomes, replicas = self.report.outcomes, self._deployment.replicas.values()
        disturbances = self._faults.disturbances
        return [
            *invariants.measure_revocations(
                outcomes, replicas, self._faults.revoked, routers.KEY_BOUND
            ),
            *invariants.measure_outdated_weights(
                outcomes, replicas, self._targets.released, routers.VERSION_BOUND, disturbances
            ),
            *invariants.measure_limits(outcomes, replicas, self._backpressure.limits, disturbances),
            *attempt_limits.measure(
                outcomes, replicas, self._deployment.map_max_attempts(), disturbances
            ),
        ]

    @property
    def _retry_allowance(self) -> invariants.RetryAllowance:
        """The retries that all routers together may send with any of the settings of the run."""
        if self._plan.lulls:
            return lulls.RETRY_ALLOWANCE
        if self._plan.outages:
            return routers.DEFAULT_RETRY_ALLOWANCE
        return routers.MAX_RETRY_ALLOWANCE

    async def _start(self) -> None:
        await self._deployment.start(routers=0, replicas=0 if self._plan.suspensions else 2)
        if self._plan.suspensions:
            await self._start_processes()
        if self._plan.outages:
            self._deployment.allow_attempts(OUTAGE_ATTEMPTS)
            self._clients.short_kinds = OUTAGE_KINDS
        if self._plan.lulls:
            self._lulls.prepare()
        for target in list(self._deployment.replicas.values()):
            await self._targets.put_behind_proxy(target)
        for number in range(self._plan.routers):
            router = routers.RouterProcess(
                number, self._folder, self._deployment.store_address, self._plan.program
            )
            if self._plan.lulls:
                router.retry_slack = lulls.RETRY_ALLOWANCE.slack
                router.retry_window = lulls.RETRY_ALLOWANCE.window
            self._routers.append(router)
            await router.open()
        if not await self._wait_ready(START_SECONDS):
            raise TimeoutError('the routers did not become ready')

    async def _start_processes(self) -> None:
        """Start replicas as processes of their own."""
        for service, model in (('app', ''), ('llm', deployment.MODEL)):
            for number in range(suspensions.REPLICAS):
                state = replica.Replica(f'{service}-{number}', service, f'zone-{number % 2}', model)
                process = remote_replicas.ReplicaProcess(state, self._folder)
                self._processes.append(process)
                await process.open(self._deployment)

    async def _refresh_replicas(self) -> None:
        """Update the states of replicas that run as processes of their own."""
        for process in self._processes:
            await process.collect(self._pool)

    def _map_addresses(self) -> dict[str, str]:
        return {r.name: r.client_link.address for r in self._routers}

    async def _wait_ready(self, bound: float) -> bool:
        ends_at = clocks.now() + bound
        while clocks.now() < ends_at:
            answers = [await r.is_ready(self._pool) for r in self._routers]
            if all(answers):
                return True
            await asyncio.sleep(0.1)
        return False

    async def _run_scenario(self, seconds: float) -> None:
        ends_at = clocks.now() + seconds
        if self._plan.outages or self._plan.lulls or self._plan.suspensions:
            series = [self._choose_injector().run(ends_at)]
            if self._plan.disturbed:
                series.insert(0, self._faults.run_beside_outages(ends_at))
        elif self._plan.scarcity:
            scarcity = self._backpressure.run_scarcity(ends_at)
            series = [self._faults.run_beside_outages(ends_at), scarcity]
        elif self._plan.planned:
            series = [self._faults.run_planned(ends_at), self._stops.run(ends_at)]
        else:
            series = [self._faults.run(ends_at), self._silences.run(ends_at)]
        if self._plan.lives:
            series += [self._restarts.run(ends_at), self._foreign_entries.run(ends_at)]
        if self._plan.asks:
            series.append(self._backpressure.run(ends_at))
        if self._plan.returns:
            series.append(self._returns.run(ends_at))
        if self._plan.versions:
            self._versions.add_service()
            series.append(self._versions.run(ends_at))
            if not self._plan.planned:
                series.append(self._releases.run(ends_at))
        if self._plan.weights:
            series.insert(0, self._rollouts.run(ends_at))
        stalls = asyncio.ensure_future(self._log_stalls())
        faults = asyncio.gather(*series)
        await self._clients.run(ends_at, self._plan.rate)
        await faults
        stalls.cancel()

    def _choose_injector(
        self,
    ) -> outages.OutageInjector | lulls.LullInjector | suspensions.SuspensionInjector:
        """Return the injector of the plan's main faults."""
        if self._plan.suspensions:
            return self._suspensions
        return self._lulls if self._plan.lulls else self._outages

    async def _log_stalls(self) -> None:
        """Record stalls of the soak's own event loop, in which its replicas do not answer."""
        turned_at = clocks.now()
        while True:
            await asyncio.sleep(STALL_CHECK_INTERVAL)
            now = clocks.now()
            if now - turned_at > STALL_THRESHOLD:
                self._faults.log_past_fault(
                    f'the soak itself stalled for {now - turned_at:.2f} s', turned_at
                )
            turned_at = now

    async def _check_recovery(self) -> None:
        """Report what has not recovered some time after the last fault."""
        for target in self._deployment.replicas.values():
            target.faults = replica.Faults()
        for router in self._routers:
            if not router.is_running:
                self.report.violations.append(f'{router.name} exited by itself')
        if not await self._wait_ready(RECOVERY_SECONDS):
            self.report.violations.append(
                f'not all routers are ready {RECOVERY_SECONDS} s after the last fault'
            )
        ends_at = clocks.now() + RECOVERY_SECONDS
        await self._refresh_replicas()
        while clocks.now() < ends_at and self._list_outdated():
            await asyncio.sleep(0.1)
            await self._refresh_replicas()
        self.report.violations += [f'{id} has old weights' for id in self._list_outdated()]
        for number, router in enumerate(self._routers):
            try:
                reply = await self._deployment.ask_at(router.caller, '/safe/x', f'end{number}')
            except exchanges.ExchangeError as error:
                self.report.violations.append(f'{router.name} answers nothing in the end: {error}')
                continue
            if reply.status != 200:
                self.report.violations.append(f'{router.name} answers {reply.status} in the end')
        await self._refresh_replicas()

    def _list_outdated(self) -> list[str]:
        return [
            r.id
            for r in self._deployment.replicas.values()
            if r.model
            and r.state == 'ready'
            and not r.has_announced_leaving
            and self._deployment.has_entry(r.id)
            and r.version < self._targets.version
        ]


async def soak(plan: Plan, logs: str = '') -> Report:
    """Run one seed; keep the routers' logs under `logs` after a violation or an exception."""
    with tempfile.TemporaryDirectory(prefix='passpier-soak-') as name:
        folder = pathlib.Path(name)
        broken = True
        try:
            report = await Soak(plan, folder).run()
            broken = bool(report.violations)
        finally:
            if broken and logs:
                kept = pathlib.Path(logs) / f'seed-{plan.seed}'
                shutil.copytree(folder, kept, dirs_exist_ok=True)
        return report


def main(
    seed: int = 1,
    count: int = 1,
    seconds: float = 12.0,
    routers: int = 4,
    rate: float = 40.0,
    logs: str = 'target/soak',
    planned: bool = False,
    lives: bool = False,
    asks: bool = False,
    returns: bool = False,
    versions: bool = False,
    outages: bool = False,
    scarcity: bool = False,
    lulls: bool = False,
    suspensions: bool = False,
    disturbed: bool = True,
    weights: bool = True,
) -> None:
    """Run `count` seeds from `seed` on; exit with 1 after a violation."""
    # The injected faults break connections, and tornado would log each of them.
    logging.disable(logging.CRITICAL)
    broken = 0
    for number in range(seed, seed + count):
        plan = Plan(
            number,
            seconds,
            routers,
            rate,
            planned,
            lives,
            asks,
            returns,
            versions,
            outages,
            scarcity,
            lulls,
            suspensions,
            disturbed,
            weights,
        )
        report = asyncio.run(soak(plan, logs))
        broken += bool(report.violations)
        print(report.render(), flush=True)
    sys.exit(1 if broken else 0)


if __name__ == '__main__':
    fire.Fire(main)
