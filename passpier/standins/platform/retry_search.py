"""Searches for faults and loads in which retries come near their bounds, with router processes.

Random plays rarely come near the bound. The search keeps the plans that came nearest, changes them
at random, and plays them again. The routers may run the code of another checkout, to compare it.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import logging
import pathlib
import random
import signal
import sys
import tempfile
from collections.abc import Sequence
from typing import Any

import fire
import msgspec

from passpier import clocks
from passpier.clients import exchanges
from passpier.routing import router
from passpier.standins.platform import attempt_limits, deployment, invariants, replica, routers

REPLICAS = 4
"""Replicas of the service; each request may be sent to all of them."""

KINDS = {'safe': ('fail', 'refuse', 'lose'), 'resume': ('fail', 'refuse', 'lose', 'cut')}
"""Kinds of requests, with the faults of the replicas that fail them."""

SILENT = 'silent'
"""A replica that reads what is sent to it only after the step."""

KILL, PAUSE = 'kill', 'pause'
"""Faults of a router: it restarts at once, or stands still during the step."""

RATES = (0.0, 10.0, 40.0, 100.0, 200.0)
"""Requests a second."""

STEP_SECONDS = (0.3, 4.0)
"""Minimum and maximum seconds of a step."""

MAX_STEPS = 6
FIRST_RATE = 60.0
SETTLING_SECONDS = router.DISCOVERY_SECONDS + 2.0
"""Seconds without faults at the start, in which the routers learn of each other."""

PATIENCES = (3.0, 3.0, 12.0)
"""Timeouts of clients in seconds, of which plans are drawn."""

SLOTS = 1000
"""Requests that a replica takes at once, so that none is refused for want of room."""

ALWAYS = 1_000_000
"""Number of coming requests that a fault affects: more than any play sends."""

KEPT = 4
"""Plans from which others are made."""

RANDOM_SHARE = 0.15
"""Share of plans that are drawn anew."""

START_SECONDS = 20.0
"""Seconds within which the routers have to be ready."""


class Step(msgspec.Struct, frozen=True):
    """A time with one load and one set of faults."""

    seconds: float
    rate: float
    replicas: tuple[str, ...]
    """The fault of each replica, empty for none."""

    routers: tuple[str, ...]
    """The fault of each router, empty for none."""


class Plan(msgspec.Struct, frozen=True):
    """A play: its kind of requests and its steps."""

    kind: str
    steps: tuple[Step, ...]
    window: float = 3.0
    """Seconds of the budget's window."""

    patience: float = 3.0
    """Timeout of clients in seconds."""

    attempts: int = REPLICAS
    """Replicas that a request may be sent to."""


class Result(msgspec.Struct, frozen=True):
    """How near a play came to the bounds."""

    share: float
    """The retries of the worst window as a share of the allowance."""

    peak: str
    parallel: float
    """The most replicas that ran a request at once as a share of those allowed."""

    excess: float
    """The seconds by which a deadline ended too late as a share of those tolerated."""

    others: list[str]
    """How near the play came to the bounds on replicas at once and on deadlines."""

    served: float
    """Share of the requests with a complete response."""


class Planner:
    """Draws plans and changes them."""

    def __init__(self, rng: random.Random, routers: int, window: float) -> None:
        self._rng = rng
        self._routers = routers
        self._window = window

    def draw(self) -> Plan:
        """Return a random plan."""
        kind = self._rng.choice(list(KINDS))
        steps = tuple(self._draw_step(kind) for _ in range(self._rng.randint(2, MAX_STEPS)))
        attempts = self._rng.choice([2, REPLICAS])
        return Plan(kind, steps, self._window, self._rng.choice(PATIENCES), attempts)

    def change(self, plan: Plan) -> Plan:
        """Return a plan with one or two changes."""
        steps = list(plan.steps)
        for _ in range(self._rng.randint(1, 2)):
            number = self._rng.randrange(len(steps))
            choice = self._rng.random()
            if choice < 0.1 and len(steps) < MAX_STEPS:
                steps.insert(number, self._draw_step(plan.kind))
            elif choice < 0.2 and len(steps) > 2:
                del steps[number]
            else:
                steps[number] = self._change_step(steps[number], plan.kind)
        return msgspec.structs.replace(plan, steps=tuple(steps))

    def _change_step(self, step: Step, kind: str) -> Step:
        drawn = self._draw_step(kind)
        field = self._rng.choice(['seconds', 'rate', 'replicas', 'routers'])
        value = getattr(drawn, field)
        if field == 'seconds' and self._rng.random() < 0.7:
            factor = self._rng.uniform(0.7, 1.4)
            value = min(max(step.seconds * factor, STEP_SECONDS[0]), self._max_seconds)
        if field == 'replicas' and self._rng.random() < 0.5:
            number = self._rng.randrange(REPLICAS)
            value = (*step.replicas[:number], value[number], *step.replicas[number + 1 :])
        return msgspec.structs.replace(step, **{field: value})

    @property
    def _max_seconds(self) -> float:
        return max(STEP_SECONDS[1], self._window)

    def _draw_step(self, kind: str) -> Step:
        rng = self._rng
        fault = rng.choice([*KINDS[kind], ''])
        chosen = [rng.choice(['', fault, fault, SILENT]) for _ in range(REPLICAS)]
        if rng.random() < 0.4:
            chosen = [fault] * REPLICAS
        trouble = rng.choice(['', '', KILL, PAUSE])
        affected = [rng.choice(['', trouble]) for _ in range(self._routers)]
        if rng.random() < 0.5:
            affected = [trouble] * self._routers
        seconds = rng.uniform(STEP_SECONDS[0], self._max_seconds)
        return Step(seconds, rng.choice(RATES), tuple(chosen), tuple(affected))


@dataclasses.dataclass(slots=True)
class Play:
    """One play of a plan."""

    plan: Plan
    running: deployment.Deployment
    processes: Sequence[routers.RouterProcess]
    rng: random.Random
    outcomes: list[invariants.RequestOutcome] = dataclasses.field(default_factory=list)
    disturbances: list[invariants.Disturbance] = dataclasses.field(default_factory=list)
    pending: list[asyncio.Task[None]] = dataclasses.field(default_factory=list)

    async def run(self) -> Result:
        """Play all steps and measure."""
        self.running.allow_attempts(REPLICAS)
        limits = {
            'timeout_ms': int(self.plan.patience * 1000),
            'max_attempts': self.plan.attempts,
        }
        routes = self.running.configuration['routes']
        self.running.configure(routes=[{**route, **limits} for route in routes])
        for target in self._list_replicas():
            target.slots = SLOTS
        await self._wait_ready()
        await self._send(SETTLING_SECONDS, FIRST_RATE)
        for step in self.plan.steps:
            await self._play_step(step)
        self._set_faults([''] * REPLICAS)
        await asyncio.gather(*self.pending)
        return self._measure()

    def _list_replicas(self) -> list[replica.Replica]:
        service = self.running.map_services()[self.plan.kind]
        return [one for one in self.running.replicas.values() if one.service == service]

    async def _wait_ready(self) -> None:
        async with asyncio.timeout(START_SECONDS):
            while not all([await one.is_ready(self.running.pool) for one in self.processes]):
                await asyncio.sleep(0.1)

    async def _play_step(self, step: Step) -> None:
        self._set_faults(step.replicas)
        paused = []
        began = clocks.now()
        for process, trouble in zip(self.processes, step.routers, strict=True):
            if trouble == KILL:
                process.kill()
                process.start()
                self.disturbances.append(invariants.Disturbance(process.name, began, began + 1.0))
            elif trouble == PAUSE:
                process.send(signal.SIGSTOP)
                paused.append(process)
        await self._send(step.seconds, step.rate)
        for process in paused:
            process.send(signal.SIGCONT)
            self.disturbances.append(invariants.Disturbance(process.name, began, clocks.now()))

    def _set_faults(self, faults: Sequence[str]) -> None:
        for target, fault in zip(self._list_replicas(), faults, strict=True):
            target.faults = replica.Faults(unreachable=fault == SILENT)
            if fault and fault != SILENT:
                setattr(target.faults, fault, ALWAYS)

    async def _send(self, seconds: float, rate: float) -> None:
        ends_at = clocks.now() + seconds
        while (left := ends_at - clocks.now()) > 0:
            if rate:
                self.pending.append(asyncio.ensure_future(self._ask()))
            await asyncio.sleep(min(left, self.rng.expovariate(rate)) if rate else left)

    async def _ask(self) -> None:
        id = f'n{len(self.pending)}'
        kind, patience = self.plan.kind, self.plan.patience
        process = self.rng.choice(self.processes)
        prompt = deployment.make_prompt(self.rng) if kind == 'resume' else []
        headers = [*deployment.build_headers(id, int(patience * 1000)), *prompt]
        request = exchanges.Request('POST', f'/{kind}/x', headers, b'question')
        began = clocks.now()
        observed = await self.running.observe_at(process.caller, request, patience)
        self.outcomes.append(
            invariants.RequestOutcome(
                id,
                kind,
                '',
                began,
                observed.status,
                observed.body,
                clocks.now() - began,
                router=process.name,
                patience=patience,
            )
        )

    def _measure(self) -> Result:
        allowance = invariants.RetryAllowance(
            routers.DEFAULT_RETRY_ALLOWANCE.ratio, routers.DEFAULT_RETRY_SLACK, self.plan.window
        )
        replicas = self._list_replicas()
        peaks = invariants.measure_retries(
            self.outcomes, replicas, self.running.map_services(), allowance
        )
        allowed = self.running.map_max_attempts()
        parallel = attempt_limits.measure_parallel_runs(self.outcomes, replicas, allowed)
        late = attempt_limits.measure_deadlines(self.outcomes, replicas, self.disturbances)
        served = sum(one.status == 200 for one in self.outcomes) / len(self.outcomes)
        return Result(
            max((peak.share for peak in peaks), default=0.0),
            ', '.join(peak.render() for peak in peaks),
            0.0 if parallel is None else parallel.share,
            0.0 if late is None else max(0.0, late.share),
            [use.render() for use in (parallel, late) if use is not None],
            round(served, 3),
        )


async def play(plan: Plan, seed: int, source: str = '') -> Result:
    """Play a plan with new processes, whose code is that of the checkout `source` if one is given.

    As many routers run as the steps have faults of routers.
    """
    with tempfile.TemporaryDirectory(prefix='passpier-search-') as name:
        async with deployment.running(routers=0) as running:
            processes = []
            for number in range(len(plan.steps[0].routers)):
                process = routers.RouterProcess(number, pathlib.Path(name), running.store_address)
                process.retry_window = plan.window
                process.source = source or None
                processes.append(process)
            try:
                for process in processes:
                    await process.open()
                return await Play(plan, running, processes, random.Random(seed)).run()
            finally:
                for process in processes:
                    await process.close()


@dataclasses.dataclass(slots=True)
class Search:
    """A search, whose plays run as processes of their own."""

    planner: Planner
    rng: random.Random
    source: str
    steer: str
    """The field of results that is to become large."""

    best: list[tuple[float, Plan]] = dataclasses.field(default_factory=list)
    """The plans that came nearest to the bound, with their shares; the nearest first."""

    played: int = 0

    async def run(self, ends_at: float) -> None:
        """Play one plan after the other until `ends_at`."""
        while clocks.now() < ends_at:
            plan = self._choose_plan()
            result = await self._play(plan)
            self.played += 1
            if result is None:
                continue
            reached = getattr(result, self.steer)
            if not self.best or reached > self.best[0][0]:
                print(f'{self.played}: {reached:.2f} {result.peak}; {result.others}')
                print(f'  {msgspec.json.encode(plan).decode()}', flush=True)
            self.best = sorted([*self.best, (reached, plan)], key=lambda one: -one[0])[:KEPT]

    def _choose_plan(self) -> Plan:
        if len(self.best) < KEPT or self.rng.random() < RANDOM_SHARE:
            return self.planner.draw()
        return self.planner.change(self.rng.choice(self.best)[1])

    async def _play(self, plan: Plan) -> Result | None:
        """Return the result of a plan, or none if its play failed."""
        text = msgspec.json.encode(plan).decode()
        arguments = ['play_plan', text, '--seed', str(self.played), '--source', self.source]
        process = await asyncio.create_subprocess_exec(
            sys.executable, '-m', __spec__.name, *arguments, stdout=asyncio.subprocess.PIPE
        )
        output, _ = await process.communicate()
        if process.returncode:
            print(f'a play failed: {text}', flush=True)
            return None
        return msgspec.json.decode(output, type=Result)


def play_plan(plan: Any, seed: int = 1, source: str = '') -> None:
    """Play one plan, given as JSON, and print the result as JSON."""
    logging.disable(logging.CRITICAL)
    decoded = msgspec.convert(plan if isinstance(plan, dict) else json.loads(plan), Plan)
    print(msgspec.json.encode(asyncio.run(play(decoded, seed, source))).decode())


def search(
    seed: int = 1,
    minutes: float = 5.0,
    jobs: int = 4,
    routers: int = 2,
    window: float = 3.0,
    source: str = '',
    steer: str = 'share',
) -> None:
    """Search for `minutes`, with `jobs` plays at a time, and print each plan that comes nearer.

    It steers by the `share`, `parallel` or `excess` of results.
    """
    rng = random.Random(seed)
    found = Search(Planner(rng, routers, window), rng, source, steer)

    async def run() -> None:
        ends_at = clocks.now() + minutes * 60
        await asyncio.gather(*(found.run(ends_at) for _ in range(jobs)))

    asyncio.run(run())
    print(f'{found.played} plays, {found.best[0][0]:.2f} of the bound at most')


if __name__ == '__main__':
    fire.Fire({'search': search, 'play_plan': play_plan})
