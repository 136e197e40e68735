"""Compares routing policies on the same arrivals, with real daemons and stand-in engines.

Prints one JSON line for each scenario, policy and seed. Absolute times depend on the machine;
compare only policies of the same run.
"""

from __future__ import annotations

import argparse
import asyncio
import concurrent.futures
import dataclasses
import hashlib
import json
import random
import re
import subprocess
import sys
import threading
from collections.abc import Callable
from typing import Any

import hdrh.histogram

from passpier import clocks
from passpier.clients import engines, web
from passpier.standins import fleets, processes, workloads

POLICIES = ('cost', 'round_robin', 'least_load', 'prefix_hash')
ACCOUNTS = ('tower', 'district', 'coop', 'greedy')
ENGINE_FLAGS = ('--cache-blocks', '1100', '--prefill-rate', '40000', '--decode-ms', '4')
COST_ONLY = frozenset({'not_greedy', 'with_events'})
"""Scenarios that are compared with another scenario, not with other policies."""

CALLER_TIMEOUT = 12.0
"""Seconds after which a caller gives up a request."""

Action = Callable[[fleets.Fleet], None]


@dataclasses.dataclass(frozen=True)
class Scenario:
    """A workload with actions during it, each with its time in seconds from the start."""

    make_workload: workloads.WorkloadFactory
    objective: str = 'first_token'
    actions: tuple[tuple[float, Action], ...] = ()
    setup: Action | None = None
    daemon_flags: tuple[str, ...] = ()


def restart_engine(fleet: fleets.Fleet) -> None:
    """Crash an engine, which restarts with an empty cache."""
    fleet.engines[0].post('/_counters', {'crash': True})


def restart_daemons(fleet: fleets.Fleet) -> None:
    """Kill all daemons and restart them."""
    for daemon in fleet.daemons:
        daemon.kill()
    for daemon in fleet.daemons:
        daemon.start()


def degrade_events(fleet: fleets.Fleet) -> None:
    """Delay cache events by two seconds and lose a third of them."""
    for engine in fleet.engines:
        engine.set_faults(event_lag=2.0, gap_percent=33)


SECONDS = 8.0
SCENARIOS = {
    'radar': Scenario(lambda rng: workloads.make_radar(rng, 60, SECONDS)),
    'wind': Scenario(lambda rng: workloads.make_wind(rng, 40, SECONDS), 'reuse'),
    'hot': Scenario(lambda rng: workloads.make_radar(rng, 60, SECONDS, hot=0.5)),
    'engine_killed': Scenario(
        lambda rng: workloads.make_radar(rng, 55, SECONDS), actions=((4.0, restart_engine),)
    ),
    'bad_events': Scenario(
        lambda rng: workloads.make_radar(rng, 60, SECONDS),
        setup=degrade_events,
        daemon_flags=('--events', 'all'),
    ),
    'herd': Scenario(
        lambda rng: workloads.make_radar(rng, 50, SECONDS), actions=((4.0, restart_daemons),)
    ),
    'greedy': Scenario(lambda rng: workloads.make_greedy(rng, 25, SECONDS, 120)),
    'not_greedy': Scenario(lambda rng: workloads.make_greedy(rng, 25, SECONDS, 0.001)),
    'with_events': Scenario(
        lambda rng: workloads.make_radar(rng, 60, SECONDS), daemon_flags=('--events', 'all')
    ),
    'smoke': Scenario(lambda rng: workloads.make_radar(rng, 15, 2.0)),
}


@dataclasses.dataclass
class Results:
    """The results of the callers of one run; `well_behaved` excludes the greedy account."""

    histogram: Any = dataclasses.field(
        default_factory=lambda: hdrh.histogram.HdrHistogram(1, 120_000_000, 3)
    )
    well_behaved: Any = dataclasses.field(
        default_factory=lambda: hdrh.histogram.HdrHistogram(1, 120_000_000, 3)
    )
    completed: int = 0
    refused: int = 0
    lost: int = 0


def build_schema(fleet: fleets.Fleet, policy: str, objective: str, preamble: str) -> dict[str, Any]:
    """Return the bench's schema with one policy for everything."""
    schema = fleet.build_schema()
    common = {
        'model': fleets.MODEL,
        'pool': 'engines',
        'deadline_ms': 8000,
        'preamble': preamble,
    }
    schema['services'] = [
        {'name': 'flag', 'objective': 'first_token', 'priority': 1, **common},
        {'name': 'digest', 'objective': 'first_token', 'priority': 2, **common},
        {'name': 'triage', 'objective': objective, 'priority': 2, **common},
        {'name': 'alarm', 'objective': 'first_token', 'priority': 0, **common},
    ]
    schema['accounts'] = [
        {
            'name': name,
            'key_digests': [hashlib.sha256(f'{name}-key'.encode()).hexdigest()],
            'concurrency': 600,
            'tokens_per_second': 50_000_000,
        }
        for name in ACCOUNTS
    ]
    schema['pools'] = schema['pools'][:1]
    schema['rules'] = [{'policy': policy}]
    return schema


class Callers:
    """Sends the requests of a workload at their times and measures the responses."""

    def __init__(self, fleet: fleets.Fleet, results: Results) -> None:
        self._entries = [d.entry for d in fleet.daemons]
        self._client = web.Client()
        self._results = results
        self._began = 0.0

    async def run(self, requests: list[workloads.Request]) -> None:
        """Send all requests on schedule, without waiting for responses (open loop)."""
        self._began = clocks.now()
        tasks = []
        for number, request in enumerate(requests):
            await asyncio.sleep(max(0.0, self._began + request.at - clocks.now()))
            tasks.append(asyncio.ensure_future(self._send(number, request)))
        await asyncio.gather(*tasks)

    async def _send(self, number: int, request: workloads.Request) -> None:
        due = self._began + request.at
        attempt = number
        while clocks.now() - due < CALLER_TIMEOUT:
            try:
                await self._request(self._entries[attempt % len(self._entries)], request, due)
                return
            except web.ExchangeError:
                # All requests of the bench are repeatable, so the caller tries the next daemon.
                attempt += 1
                await asyncio.sleep(0.05)
        self._results.lost += 1

    async def _request(self, entry: str, request: workloads.Request, due: float) -> None:
        body = {
            'model': request.service,
            'prompt': request.prompt,
            'max_tokens': request.max_tokens,
            'stream': True,
        }
        headers = fleets.make_headers(f'{request.account}-key')
        exchange = self._client.open(
            'POST', f'http://{entry}/v1/completions', json.dumps(body).encode(), headers
        )
        head = await exchange.read_head()
        if head.status != 200:
            await exchange.read_all()
            self._results.refused += 1
            return
        first = 0.0
        last = b''
        async for event in engines.read_events(exchange):
            first = first or clocks.now()
            last = event
        if last != engines.END_MARK:
            self._results.lost += 1
            return
        self._results.completed += 1
        self._results.histogram.record_value(int((first - due) * 1e6))
        if request.account != 'greedy':
            self._results.well_behaved.record_value(int((first - due) * 1e6))


def read_wasted(fleet: fleets.Fleet) -> int:
    """Return the tokens that were computed although another replica had them cached."""
    total = 0.0
    for daemon in fleet.daemons:
        page = processes.call('GET', f'http://{daemon.entry}/metrics')[2].decode()
        for value in re.findall(r'^passpier_wasted_tokens_total\{.*\} ([\d.e+]+)$', page, re.M):
            total += float(value)
    return int(total)


def run_one(scenario_name: str, policy: str, seed: int) -> dict[str, Any]:
    """Run one scenario with one policy and return its results."""
    scenario = SCENARIOS[scenario_name]
    workload = scenario.make_workload(random.Random(seed))
    results = Results()
    with fleets.run_fleet(daemons=3, engines=5, services=0, engine_flags=ENGINE_FLAGS) as fleet:
        schema = build_schema(fleet, policy, scenario.objective, workload.preamble)
        fleet.apply(schema, 1)
        processes.wait_until(fleet.is_settled, 'settled')
        if scenario.setup is not None:
            scenario.setup(fleet)
        timers = [threading.Timer(at, action, [fleet]) for at, action in scenario.actions]
        for timer in timers:
            timer.start()
        asyncio.run(run_callers(fleet, results, workload.requests))
        for timer in timers:
            timer.join()
        counters = [e.get_counters() for e in fleet.engines]
        wasted = read_wasted(fleet)
        errors = sum(d.read_log().count('"level": "ERROR"') for d in fleet.daemons)
    return summarise(scenario_name, policy, seed, workload, results, counters, wasted, errors)


async def run_callers(
    fleet: fleets.Fleet, results: Results, requests: list[workloads.Request]
) -> None:
    """Send all requests of a run."""
    await Callers(fleet, results).run(requests)


def summarise(
    scenario: str,
    policy: str,
    seed: int,
    workload: workloads.Workload,
    results: Results,
    counters: list[Any],
    wasted: int,
    errors: int,
) -> dict[str, Any]:
    """Return the JSON fields of a run."""
    prompt = sum(c['totals'].get('prompt_tokens', 0) for c in counters)
    cached = sum(c['totals'].get('cached_tokens', 0) for c in counters)
    doubled = sum(n - 1 for c in counters for n in c['runs'].values() if n > 1)
    return {
        'scenario': scenario,
        'policy': policy,
        'seed': seed,
        'hit_rate': round(cached / max(1, prompt), 4),
        'wasted_tokens': wasted,
        'recomputed_tokens': max(0, prompt - cached - workload.distinct_tokens),
        'ttft_p50_ms': round(results.histogram.get_value_at_percentile(50) / 1e3, 1),
        'ttft_p99_ms': round(results.histogram.get_value_at_percentile(99) / 1e3, 1),
        'calm_p99_ms': round(results.well_behaved.get_value_at_percentile(99) / 1e3, 1),
        'completed': results.completed,
        'refused': results.refused,
        'lost': results.lost,
        'doubled': doubled,
        'log': f'{errors} errors',
    }


def run_subprocess(scenario: str, policy: str, seed: int) -> str:
    """Run one scenario in a separate process and return its JSON line."""
    arguments = [sys.executable, '-m', 'passpier.standins.bench', '--one', scenario, policy]
    done = subprocess.run(
        [*arguments, str(seed)], capture_output=True, text=True, timeout=300, check=False
    )
    return done.stdout.strip() or json.dumps({'failed': [scenario, policy, seed, done.stderr]})


def main() -> None:
    """Run the chosen scenarios with all policies."""
    parser = argparse.ArgumentParser(prog='bench')
    parser.add_argument('scenarios', nargs='*', default=[s for s in SCENARIOS if s != 'smoke'])
    parser.add_argument('--one', nargs=3, metavar=('SCENARIO', 'POLICY', 'SEED'))
    parser.add_argument('--seeds', type=int, default=3)
    parser.add_argument('--parallel', type=int, default=1)
    parser.add_argument('--policies', default=','.join(POLICIES))
    arguments = parser.parse_args()
    if arguments.one:
        scenario, policy, seed = arguments.one
        print(json.dumps(run_one(scenario, policy, int(seed))))
        return
    runs = [
        (scenario, policy, seed)
        for seed in range(1, arguments.seeds + 1)
        for scenario in arguments.scenarios
        for policy in arguments.policies.split(',')
        if policy == 'cost' or scenario not in COST_ONLY
    ]
    with concurrent.futures.ThreadPoolExecutor(arguments.parallel) as pool:
        for line in pool.map(lambda run: run_subprocess(*run), runs):
            print(line, flush=True)


if __name__ == '__main__':
    main()
