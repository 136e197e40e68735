"""Compares routing policies on the same arrivals, with real daemons and stand-in engines.

Prints one JSON line for each scenario, policy and seed. Absolute times mean nothing beyond this
machine; compare the policies of one run.
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
"""Scenarios that are compared with another one, not with other policies."""

CALLER_PATIENCE = 12.0
"""Seconds after which a caller gives a request up."""

Action = Callable[[fleets.Fleet], None]


@dataclasses.dataclass(frozen=True)
class Scenario:
    """A workload with what happens during it; actions by seconds from the start."""

    make: workloads.Maker
    objective: str = 'first_token'
    actions: tuple[tuple[float, Action], ...] = ()
    setup: Action | None = None
    daemon_flags: tuple[str, ...] = ()


def restart_engine(fleet: fleets.Fleet) -> None:
    """Let an engine crash and come back empty."""
    fleet.engines[0].post('/_counters', {'crash': True})


def restart_daemons(fleet: fleets.Fleet) -> None:
    """Kill all daemons and start them again."""
    for daemon in fleet.daemons:
        daemon.kill()
    for daemon in fleet.daemons:
        daemon.start()


def spoil_events(fleet: fleets.Fleet) -> None:
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
        setup=spoil_events,
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
class Tally:
    """What the callers of one run met."""

    histogram: Any = dataclasses.field(
        default_factory=lambda: hdrh.histogram.HdrHistogram(1, 120_000_000, 3)
    )
    calm: Any = dataclasses.field(
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
    """Sends a workload at its times and measures the answers."""

    def __init__(self, fleet: fleets.Fleet, tally: Tally) -> None:
        self._entries = [d.entry for d in fleet.daemons]
        self._client = web.Client()
        self._tally = tally
        self._began = 0.0

    async def run(self, requests: list[workloads.Request]) -> None:
        """Send all requests, open loop."""
        self._began = clocks.now()
        tasks = []
        for number, request in enumerate(requests):
            await asyncio.sleep(max(0.0, self._began + request.at - clocks.now()))
            tasks.append(asyncio.ensure_future(self._send(number, request)))
        await asyncio.gather(*tasks)

    async def _send(self, number: int, request: workloads.Request) -> None:
        due = self._began + request.at
        attempt = number
        while clocks.now() - due < CALLER_PATIENCE:
            try:
                await self._ask(self._entries[attempt % len(self._entries)], request, due)
                return
            except web.ExchangeError:
                # All requests here may be repeated; a caller whose daemon died asks another.
                attempt += 1
                await asyncio.sleep(0.05)
        self._tally.lost += 1

    async def _ask(self, entry: str, request: workloads.Request, due: float) -> None:
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
            self._tally.refused += 1
            return
        first = 0.0
        last = b''
        async for event in engines.read_events(exchange):
            first = first or clocks.now()
            last = event
        if last != engines.END_MARK:
            self._tally.lost += 1
            return
        self._tally.completed += 1
        self._tally.histogram.record_value(int((first - due) * 1e6))
        if request.account != 'greedy':
            self._tally.calm.record_value(int((first - due) * 1e6))


def read_wasted(fleet: fleets.Fleet) -> int:
    """Return the tokens that daemons had computed though another replica held them."""
    total = 0.0
    for daemon in fleet.daemons:
        page = processes.call('GET', f'http://{daemon.entry}/metrics')[2].decode()
        for value in re.findall(r'^passpier_wasted_tokens_total\{.*\} ([\d.e+]+)$', page, re.M):
            total += float(value)
    return int(total)


def run_one(scenario_name: str, policy: str, seed: int) -> dict[str, Any]:
    """Run one scenario under one policy and return its figures."""
    scenario = SCENARIOS[scenario_name]
    workload = scenario.make(random.Random(seed))
    tally = Tally()
    with fleets.run_fleet(daemons=3, engines=5, services=0, engine_flags=ENGINE_FLAGS) as fleet:
        schema = build_schema(fleet, policy, scenario.objective, workload.preamble)
        fleet.apply(schema, 1)
        processes.wait_until(fleet.is_settled, 'settled')
        if scenario.setup is not None:
            scenario.setup(fleet)
        timers = [threading.Timer(at, action, [fleet]) for at, action in scenario.actions]
        for timer in timers:
            timer.start()
        asyncio.run(run_callers(fleet, tally, workload.requests))
        for timer in timers:
            timer.join()
        counters = [e.get_counters() for e in fleet.engines]
        wasted = read_wasted(fleet)
        errors = sum(d.read_log().count('"level": "ERROR"') for d in fleet.daemons)
    return summarise(scenario_name, policy, seed, workload, tally, counters, wasted, errors)


async def run_callers(fleet: fleets.Fleet, tally: Tally, requests: list[workloads.Request]) -> None:
    """Run the callers in an event loop of their own."""
    await Callers(fleet, tally).run(requests)


def summarise(
    scenario: str,
    policy: str,
    seed: int,
    workload: workloads.Workload,
    tally: Tally,
    counters: list[Any],
    wasted: int,
    errors: int,
) -> dict[str, Any]:
    """Return the JSON line of a run."""
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
        'ttft_p50_ms': round(tally.histogram.get_value_at_percentile(50) / 1e3, 1),
        'ttft_p99_ms': round(tally.histogram.get_value_at_percentile(99) / 1e3, 1),
        'calm_p99_ms': round(tally.calm.get_value_at_percentile(99) / 1e3, 1),
        'completed': tally.completed,
        'refused': tally.refused,
        'lost': tally.lost,
        'doubled': doubled,
        'log': f'{errors} errors',
    }


def run_apart(scenario: str, policy: str, seed: int) -> str:
    """Run one in a process of its own and return its line."""
    arguments = [sys.executable, '-m', 'passpier.standins.bench', '--one', scenario, policy]
    done = subprocess.run(
        [*arguments, str(seed)], capture_output=True, text=True, timeout=300, check=False
    )
    return done.stdout.strip() or json.dumps({'failed': [scenario, policy, seed, done.stderr]})


def main() -> None:
    """Run the chosen scenarios under all policies."""
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
        for line in pool.map(lambda run: run_apart(*run), runs):
            print(line, flush=True)


if __name__ == '__main__':
    main()
