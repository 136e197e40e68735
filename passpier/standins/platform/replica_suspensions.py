"""Plays replicas that are suspended now and then, with routers and replicas as processes.

What a replica has received and not read when its requests are given up, it reads when it goes on:
with a deadline that counts from then, and perhaps for a client that has left.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import json
import logging
import pathlib
import random
import sys
import tempfile
from collections.abc import Mapping, Sequence

import fire
import msgspec

from passpier import clocks
from passpier.clients import exchanges
from passpier.routing import router
from passpier.standins.platform import (
    attempt_limits,
    deployment,
    invariants,
    remote_replicas,
    replica,
    routers,
)

SETTLING_SECONDS = router.DISCOVERY_SECONDS + 2.0
"""Seconds without faults at the start, in which the routers learn of each other."""

START_SECONDS = 20.0
"""Seconds within which the routers have to be ready."""

KINDS = {'safe': 'app', 'once': 'app', 'resume': 'llm'}
"""Kinds of requests with their services."""

SLOTS = 100
"""Requests that a replica takes at once."""

LEAVE_SECONDS = (0.05, 1.0)
"""Minimum and maximum seconds after which a client leaves that doesn't wait."""

QUANTILES = (0.5, 0.95, 0.99)


class Plan(msgspec.Struct, frozen=True):
    """The parameters of a play."""

    seed: int = 1
    routers: int = 6
    replicas: int = 4
    """Replicas of each service."""

    at_once: int = 1
    """Replicas of each service that are suspended together."""

    suspensions: int = 8
    seconds: float = 4.0
    """Seconds for which they are suspended."""

    sound: tuple[float, float] = (2.0, 4.0)
    """Minimum and maximum seconds without a fault between two suspensions."""

    quiet: float = 0.0
    """Seconds without requests before each suspension."""

    rate: float = 12.0
    """Requests a second."""

    patience: float = 3.0
    """Timeout of clients in seconds."""

    attempts: int = 3
    """Replicas that a request may be sent to."""

    kinds: tuple[str, ...] = ('safe',)
    leaving: float = 0.0
    """Share of the clients that leave before they have a response."""


class Result(msgspec.Struct, frozen=True):
    """What a play came to."""

    overlong: int
    """Deadlines that ended too late."""

    resent: int
    """Requests that were sent again late."""

    after_leaving: int
    """Arrivals of requests whose clients had left some time before."""

    retries: float
    """The retries of the worst window as a share of the allowance."""

    served: float
    """Share of the requests with a complete response, without those of clients that left."""

    seconds: dict[str, float]
    """Quantiles of the seconds that these took."""

    reports: float
    """Reports that replicas were asked for, for each request."""

    violations: list[str]


class Play:
    """One play of a plan."""

    def __init__(
        self,
        plan: Plan,
        running: deployment.Deployment,
        processes: Sequence[routers.RouterProcess],
        targets: Sequence[remote_replicas.ReplicaProcess],
    ) -> None:
        self._plan = plan
        self._running = running
        self._routers = processes
        self._targets = targets
        self._rng = random.Random(plan.seed)
        self._outcomes: list[invariants.RequestOutcome] = []
        self._is_quiet = False
        """Whether no requests are sent."""

        self._left_at: dict[str, float] = {}
        """When clients left that did not wait for a response, by request id."""

    async def run(self) -> Result:
        """Play all suspensions under load, and measure."""
        await self._wait_ready()
        load = asyncio.ensure_future(self._send_load())
        await asyncio.sleep(SETTLING_SECONDS)
        for _ in range(self._plan.suspensions):
            await self._suspend_some()
            await asyncio.sleep(self._rng.uniform(*self._plan.sound))
        load.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await load
        for target in self._targets:
            await target.collect(self._running.pool)
        return self._measure()

    async def _wait_ready(self) -> None:
        async with asyncio.timeout(START_SECONDS):
            while not all([await one.is_ready(self._running.pool) for one in self._routers]):
                await asyncio.sleep(0.1)

    async def _suspend_some(self) -> None:
        services = collections.defaultdict(list)
        for target in self._targets:
            services[target.state.service].append(target)
        chosen = [
            target
            for name in sorted(services)
            for target in self._rng.sample(services[name], self._plan.at_once)
        ]
        self._is_quiet = True
        await asyncio.sleep(self._plan.quiet)
        for target in chosen:
            target.suspend()
        self._is_quiet = False
        await asyncio.sleep(self._plan.seconds)
        for target in chosen:
            target.resume()

    async def _send_load(self) -> None:
        """Send requests until cancelled, then wait until they have ended."""
        async with asyncio.TaskGroup() as requests:
            rng = random.Random(f'load {self._plan.seed}')
            number = 0
            with contextlib.suppress(asyncio.CancelledError):
                while True:
                    if not self._is_quiet:
                        requests.create_task(self._ask(f'n{number}', rng))
                        number += 1
                    await asyncio.sleep(rng.expovariate(self._plan.rate))

    async def _ask(self, id: str, rng: random.Random) -> None:
        patience = self._plan.patience
        kind = rng.choice(self._plan.kinds)
        process = rng.choice(self._routers)
        prompt = deployment.make_prompt(rng) if kind in invariants.STREAM_KINDS else []
        leaves_after = rng.uniform(*LEAVE_SECONDS) if rng.random() < self._plan.leaving else None
        headers = [*deployment.build_headers(id, int(patience * 1000)), *prompt]
        request = exchanges.Request('POST', f'/{kind}/x', headers, b'question')
        began = clocks.now()
        observed = deployment.ObservedResponse()
        try:
            async with asyncio.timeout(leaves_after):
                observed = await self._running.observe_at(process.caller, request, patience)
        except TimeoutError:
            self._left_at[id] = clocks.now()
        seconds = clocks.now() - began
        self._outcomes.append(
            invariants.RequestOutcome(
                id,
                kind,
                '',
                began,
                observed.status,
                observed.body,
                seconds,
                router=process.name,
                patience=patience,
            )
        )

    def _measure(self) -> Result:
        states = [target.state for target in self._targets]
        deadlines = attempt_limits.list_deadlines(self._outcomes, states)
        peaks = invariants.measure_retries(
            self._outcomes,
            states,
            self._running.map_services(),
            routers.DEFAULT_RETRY_ALLOWANCE,
        )
        waited = [one for one in self._outcomes if one.id not in self._left_at]
        served = sorted(one.seconds for one in waited if one.status == 200)
        late = attempt_limits.list_arrivals_after_leaving(self._left_at, states)
        return Result(
            sum(one.is_overlong for one in deadlines),
            sum(one.is_resent for one in deadlines),
            len(late),
            max((peak.share for peak in peaks), default=0.0),
            round(len(served) / len(waited), 4),
            {f'p{int(share * 100)}': _find_quantile(served, share) for share in QUANTILES},
            round(sum(state.report_count for state in states) / len(self._outcomes), 3),
            self._find_violations(states, self._left_at),
        )

    def _find_violations(
        self, states: Sequence[replica.Replica], left_at: Mapping[str, float]
    ) -> list[str]:
        allowed = self._running.map_max_attempts()
        return [
            *attempt_limits.find_violations(self._outcomes, states, allowed),
            *attempt_limits.find_late_arrivals(left_at, states),
        ]


def _find_quantile(values: Sequence[float], share: float) -> float:
    return round(values[int(share * (len(values) - 1))], 3) if values else 0.0


async def play(
    plan: Plan, source: str = '', logs: str = '', program: str = routers.PROGRAM
) -> Result:
    """Play a plan with new processes.

    The routers run the module `program`, from the checkout `source` if one is given. The logs of
    all processes are kept in the folder `logs` if one is given.
    """
    with tempfile.TemporaryDirectory(prefix='passpier-suspensions-') as name:
        folder = pathlib.Path(logs or name)
        folder.mkdir(parents=True, exist_ok=True)
        async with deployment.running(routers=0, replicas=0) as running:
            running.configure(
                routes=[
                    {
                        **route,
                        'timeout_ms': int(plan.patience * 1000),
                        'max_attempts': plan.attempts,
                    }
                    for route in running.configuration['routes']
                ]
            )
            targets = _build_replicas(plan, folder)
            processes = [
                routers.RouterProcess(number, folder, running.store_address, program)
                for number in range(plan.routers)
            ]
            try:
                for target in targets:
                    await target.open(running)
                for process in processes:
                    process.source = source or None
                    await process.open()
                return await Play(plan, running, processes, targets).run()
            finally:
                for process in processes:
                    await process.close()
                for target in targets:
                    target.close()


def _build_replicas(plan: Plan, folder: pathlib.Path) -> list[remote_replicas.ReplicaProcess]:
    return [
        remote_replicas.ReplicaProcess(
            replica.Replica(
                f'{service}-{number}',
                service,
                f'zone-{number % 2}',
                deployment.MODEL if service == 'llm' else '',
                slots=SLOTS,
            ),
            folder,
        )
        for service in sorted({KINDS[kind] for kind in plan.kinds})
        for number in range(plan.replicas)
    ]


def main(plan: str = '{}', source: str = '', logs: str = '') -> None:
    """Play a plan, given as JSON, and print the result as JSON; exit with 1 after a violation."""
    logging.disable(logging.CRITICAL)
    fields = plan if isinstance(plan, dict) else json.loads(plan)
    result = asyncio.run(play(msgspec.convert(fields, Plan), source, logs))
    print(msgspec.json.encode(result).decode())
    sys.exit(1 if result.violations else 0)


if __name__ == '__main__':
    fire.Fire(main)
