"""Workloads of the bench: random arrivals with nested prompt prefixes."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable

from passpier.core import blocks

WORDS = 'wind gust rotor yaw pitch scan dbz cell echo cloud sector blade tower phase grid feeder'


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request; `at` is in seconds from the start."""

    at: float
    account: str
    service: str
    prompt: str
    max_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Workload:
    """Requests, with the number of prompt tokens that any router has to compute at least once."""

    requests: list[Request]
    preamble: str
    """Text that the services insert before every prompt."""

    distinct_tokens: int


class TextSource:
    """Generates reproducible text by name; a token is four bytes."""

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._cache: dict[tuple[str, int], str] = {}

    def make(self, name: str, tokens: int) -> str:
        """Return the text of a name with a number of tokens."""
        key = (name, tokens)
        if key not in self._cache:
            rng = random.Random(f'{self._seed}/{name}')
            words = WORDS.split()
            parts = [f'[{name}]']
            size = tokens * blocks.BYTES_PER_TOKEN
            length = len(parts[0])
            while length < size:
                word = f' {rng.choice(words)}{rng.randrange(1000)}'
                parts.append(word)
                length += len(word)
            self._cache[key] = ''.join(parts)[:size]
        return self._cache[key]


def draw_arrivals(rng: random.Random, rate: float, duration: float) -> list[float]:
    """Return Poisson arrival times."""
    times = []
    now = rng.expovariate(rate)
    while now < duration:
        times.append(now)
        now += rng.expovariate(rate)
    return times


def draw_zipf(rng: random.Random, count: int, skew: float = 0.9) -> int:
    """Return a number below `count` from a Zipf distribution."""
    weights = [1 / (n + 1) ** skew for n in range(count)]
    return rng.choices(range(count), weights)[0]


def make_radar(rng: random.Random, rate: float, duration: float, hot: float = 0.0) -> Workload:
    """Return short requests with prefixes on three levels: preamble, station and recent log.

    A share `hot` of them uses one station, a different one every three seconds.
    """
    text = TextSource(rng.randrange(2**32))
    preamble = text.make('radar desk preamble', 512)
    requests = []
    for at in draw_arrivals(rng, rate, duration):
        station = draw_zipf(rng, 60)
        if rng.random() < hot:
            station = 100 + int(at / 3.0)
        log = draw_zipf(rng, 4)
        prompt = (
            text.make(f'station {station}', 1024)
            + text.make(f'log {station}.{log}', 1536)
            + text.make(f'question {at}', 64)
        )
        service = 'flag' if rng.random() < 0.8 else 'digest'
        account = rng.choices(['tower', 'district', 'coop'], [5, 3, 2])[0]
        requests.append(Request(at, account, service, prompt, 8))
    return build_workload(preamble, requests)


def make_wind(rng: random.Random, rate: float, duration: float) -> Workload:
    """Return requests about long shift logs, several for each log, mixed with short alarms."""
    text = TextSource(rng.randrange(2**32))
    preamble = text.make('wind preamble', 512)
    requests = []
    for at in draw_arrivals(rng, rate, duration):
        farm = draw_zipf(rng, 12)
        head = text.make(f'farm {farm}', 1024)
        account = 'tower' if farm % 2 else 'district'
        if rng.random() < 0.3:
            prompt = head + text.make(f'alarm {at}', 64)
            requests.append(Request(at, account, 'alarm', prompt, 6))
            continue
        turbine = draw_zipf(rng, 5)
        prompt = head + text.make(f'shift {farm}.{turbine}', 5120) + text.make(f'ask {at}', 64)
        requests.append(Request(at, account, 'triage', prompt, 12))
    return build_workload(preamble, requests)


def make_greedy(rng: random.Random, rate: float, duration: float, greedy: float) -> Workload:
    """Return radar traffic with one additional account that sends far more than its share."""
    workload = make_radar(rng, rate, duration)
    flood = [
        dataclasses.replace(r, account='greedy', service='flag')
        for r in make_radar(rng, greedy, duration).requests
    ]
    requests = sorted([*workload.requests, *flood], key=lambda r: r.at)
    return build_workload(workload.preamble, requests)


def build_workload(preamble: str, requests: list[Request]) -> Workload:
    """Return the workload, with its distinct tokens counted by block."""
    seen: set[int] = set()
    tokens = 0
    for request in requests:
        scope = blocks.Scope(request.account, 'm', 'v', '')
        data = blocks.encode_text(preamble + request.prompt)
        chain = blocks.compute_chain(blocks.compute_root(scope), data, 64)
        new = sum(block not in seen for block in chain)
        seen.update(chain)
        tokens += new * 64 + blocks.count_tokens(data) - len(chain) * 64
    return Workload(requests, preamble, tokens)


WorkloadFactory = Callable[[random.Random], Workload]
