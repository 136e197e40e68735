"""Simulates traffic on a fleet of routers and engines, in virtual time, without sockets.

Each router uses the production code for upstreams, the view of caches, cache sources, dispatching,
and the exchange of loads and placements. Only links, engines and clients are models. A simulation
of a few seconds shows the effect of a changed routing decision in a fleet that is too large to run
as processes on one machine.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import random
import statistics
import time

import fire

from passpier import clocks, exceptions
from passpier.config import declarations
from passpier.core import attempts, members, pauses, prompts, replica_processes, replicas
from passpier.daemon import calls, dispatcher
from passpier.routing import pools, requests
from passpier.standins import network, virtual_time
from passpier.standins.fleet import engines, reports, routers, traffic

NETWORK_DELAY = 0.0035
"""Seconds from a client to a router, and from a router to an engine."""

MAX_ATTEMPTS = 3
"""Attempts for a request that is refused as not run."""

PAUSE_MAX = 0.5
"""Seconds between two events of a stream above which it counts as paused."""

WARM_UP_SHARE = 0.25
"""Share of the simulation that is not counted, since all caches are empty at first."""


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """The parameters of a simulation; times are in seconds."""

    routers: int = 18
    replicas: int = 59
    domains: int = 6
    rate: float = 4.75
    """Requests a second at each replica."""

    seconds: float = 20.0
    renew: float = 8.0
    """Time between two releases of weights; 0 disables them."""

    event_tokens: int = 1
    """Tokens in an event; multiplies the number of output tokens of each request."""

    seed: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Served:
    """How a request was served: time of its first token, and its longest pause, in seconds."""

    first_token_at: float
    longest_pause: float


class Fleet:
    """All routers and engines of a simulation."""

    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        self._rng = random.Random(scenario.seed)
        self._network = network.Network(self._rng)
        spec = engines.EngineSpec(event_tokens=scenario.event_tokens)
        domains = scenario.domains
        self.engines = [
            engines.Engine(f'r{n}', f'd{n % domains}', spec) for n in range(scenario.replicas)
        ]
        self._by_address = {f'{e.name}:1': e for e in self.engines}
        fleet = [
            members.Member(f'vm-{n}', f'i{n:04}', '10.0.0.1', n, 1000 + n, f'd{n % domains}')
            for n in range(scenario.routers)
        ]
        self.routers = [
            routers.Router(m, fleet, self._network, self.engines, self._rng) for m in fleet
        ]
        self._kinds = traffic.build_kinds(scenario.rate, scenario.replicas)
        self._number = 0
        self._placing_seconds = 0.0
        self._placement_count = 0
        self.report = reports.Report([k.name for k in self._kinds])

    async def run(self) -> reports.Report:
        """Simulate all traffic and return the report."""
        seconds = self._scenario.seconds
        tasks = [asyncio.ensure_future(r.loads.run()) for r in self.routers]
        tasks += [asyncio.ensure_future(r.sharing.run()) for r in self.routers]
        if self._scenario.renew:
            tasks.append(asyncio.ensure_future(self._release_weights(self._scenario.renew)))
        pending: set[asyncio.Task[None]] = set()
        loop = asyncio.get_running_loop()
        started = loop.time()
        for arrival in traffic.Traffic(self._kinds, self._rng).generate(seconds):
            await asyncio.sleep(max(0.0, started + arrival.at - loop.time()))
            counts = arrival.at > seconds * WARM_UP_SHARE
            task = asyncio.ensure_future(
                self._send(self._rng.choice(self.routers), arrival, counts)
            )
            pending.add(task)
            task.add_done_callback(pending.discard)
        await asyncio.gather(*pending)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._complete_report()
        return self.report

    async def _send(self, chosen: routers.Router, arrival: traffic.Arrival, counts: bool) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        served = await self._route(chosen, arrival, began)
        if not counts:
            return
        kind = arrival.kind.name
        self.report.requests[kind] += 1
        if served is None:
            self.report.refused[kind] += 1
            self.report.refusal_wait += loop.time() - began
        else:
            self.report.first_token_times[kind].append(served.first_token_at - began)
        if served is None or served.first_token_at - began > arrival.kind.objective:
            self.report.late[kind] += 1
        elif served.longest_pause > PAUSE_MAX:
            self.report.paused[kind] += 1

    async def _route(
        self, chosen: routers.Router, arrival: traffic.Arrival, began: float
    ) -> Served | None:
        """Return how a request was served, or None if it was refused."""
        call = _build_call(f'q{self._number}', arrival, began)
        self._number += 1
        await asyncio.sleep(NETWORK_DELAY)
        excluded: list[str] = []
        for number in range(MAX_ATTEMPTS):
            attempt = f'{call.id}-{number}'
            clock = time.process_time()
            placement = await chosen.dispatcher.place(call, attempt, excluded)
            self._placing_seconds += time.process_time() - clock
            self._placement_count += 1
            if isinstance(placement, exceptions.Failure):
                return None
            try:
                return await self._run(chosen, placement, arrival)
            except engines.FullError:
                excluded.append(placement.replica.name)
                chosen.pools.pause(
                    placement.replica.process, pauses.Pause.FULL, pools.PAUSE_FULL, 'full'
                )
        return None

    async def _run(
        self, chosen: routers.Router, placement: dispatcher.Placement, arrival: traffic.Arrival
    ) -> Served:
        replica = placement.replica
        job = placement.call.job
        loop = asyncio.get_running_loop()
        engine = self._by_address[replica.address]
        salt = prompts.render_salt('', 'm', replica.weight_version)
        source = chosen.sharing.sources.choose(replica, job, arrival.prompt, salt)
        run = engines.Run(
            [(f'{salt}/{p.name}', p.tokens) for p in arrival.prompt.parts],
            arrival.output * self._scenario.event_tokens,
            arrival.kind.priority,
            self._by_address.get(source.fetch),
            loop.create_future(),
            loop.create_future(),
        )
        try:
            await asyncio.sleep(NETWORK_DELAY)
            engine.submit(run)
            first = await run.first_token
            await asyncio.sleep(NETWORK_DELAY)
            replicas.note_first_token(replica, placement.attempt, loop.time())
            chosen.sharing.record_placement(replica, job)
            await run.ended
            return Served(first + 2 * NETWORK_DELAY, run.longest_pause)
        finally:
            chosen.dispatcher.end(placement)

    async def _release_weights(self, pause: float) -> None:
        version = 1
        while True:
            await asyncio.sleep(pause)
            version += 1
            order = self._rng.sample(self.engines, len(self.engines))
            at_once = max(1, int(len(order) * 0.4))
            for start in range(0, len(order), at_once):
                chosen = order[start : start + at_once]
                await asyncio.gather(*(self._load_weights(e, version) for e in chosen))

    async def _load_weights(self, engine: engines.Engine, version: int) -> None:
        for one in self.routers:
            one.pools.pause(
                replica_processes.ReplicaProcess(engine.name),
                pauses.Pause.LOADING,
                pools.PAUSE_LOADING,
                'loads',
                version,
            )
        await engine.load()
        for one in self.routers:
            one.pools.update_version(
                replica_processes.ReplicaProcess(engine.name), version, 'model'
            )

    def _complete_report(self) -> None:
        report = self.report
        report.prefilled_tokens = sum(e.prefilled_tokens for e in self.engines)
        report.cached_tokens = sum(e.cached_tokens for e in self.engines)
        report.transfers = sum(e.transfers for e in self.engines)
        report.engine_refusals = sum(e.refused for e in self.engines)
        busy = [e.prefill_seconds for e in self.engines]
        report.max_load_ratio = max(busy) / max(1e-9, statistics.mean(busy))
        report.messages = self._network.carried
        report.placement_seconds = self._placing_seconds / max(1, self._placement_count)


def _build_call(id: str, arrival: traffic.Arrival, began: float) -> calls.Call:
    kind = arrival.kind
    declared = declarations.Service(
        routers.SERVICE,
        routers.SERVICE,
        'model',
        priority=kind.priority,
        deadline_ms=int(kind.objective * requests.HOLD_SHARE * 1000),
    )
    call = calls.Call(
        id,
        declarations.Account(''),
        declared,
        '/',
        'cost',
        began,
        attempts.RequestProgress(False, False),
    )
    call.job = prompts.build_job(arrival.prompt, '', kind.priority)
    return call


def simulate(**changes: int | float) -> reports.Report:
    """Run a simulation in virtual time; `changes` are fields of `Scenario`."""
    scenario = Scenario(**changes)  # type: ignore[arg-type]
    real_now = clocks.now

    async def run() -> reports.Report:
        clocks.now = asyncio.get_running_loop().time
        try:
            return await Fleet(scenario).run()
        finally:
            clocks.now = real_now

    return virtual_time.run(run())


def main(seed: int = 1, count: int = 1, **changes: int | float) -> None:
    """Simulate `count` seeds from `seed` on; other flags are the fields of `Scenario`."""
    logging.disable(logging.CRITICAL)
    for number in range(seed, seed + count):
        began = clocks.now()
        report = simulate(seed=number, **changes)
        print(f'seed {number}, {clocks.now() - began:.0f} s to play')
        print(report.render(), flush=True)


if __name__ == '__main__':
    fire.Fire(main)
