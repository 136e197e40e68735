"""Measures the cost of an additional replica, block, event, peer or request as JSON lines."""

from __future__ import annotations

import asyncio
import functools
import json
import statistics
import time

from passpier import clocks
from passpier.clients import store, web
from passpier.core import blocks
from passpier.daemon import idempotency, responses
from passpier.standins import fleets, microbenchmarks, processes

SCOPE = blocks.Scope('tower', 'advisory-7b', 'v1')
BLOCK_TOKENS = 64


def measure_claims() -> None:
    """Measure the latency of claims in a store process by number of concurrent claims."""
    with processes.run_process_group() as trial:
        standin = processes.Standin('store', 'store', trial.folder)
        trial.add(standin)
        processes.wait_for_port(standin.address)
        for group in (1, 16, 64, 256):
            latencies, calls = asyncio.run(claim_many(standin, group))
            microbenchmarks.print_result(
                'claim',
                at_once=group,
                p50_ms=round(statistics.median(latencies) * 1e3, 2),
                max_ms=round(max(latencies) * 1e3, 2),
                store_calls_a_claim=round(calls / len(latencies), 3),
            )


async def claim_many(standin: processes.Standin, group: int) -> tuple[list[float], int]:
    """Return the latencies of claims, `group` at a time, and the number of store calls."""
    client = web.Client()
    claimer = idempotency.Claimer(
        store.EtcdStore([standin.address], client),
        f'inc-{group}',
        idempotency.claims.KeyTable[responses.Response](900.0),
    )
    await claimer.claim('warm/up')
    before = sum(standin.get('/stats').values())
    latencies = []

    async def claim(name: str) -> None:
        began = time.perf_counter()
        await claimer.claim(name)
        latencies.append(time.perf_counter() - began)

    for turn in range(10):
        await asyncio.gather(*(claim(f'a/{group}-{turn}-{n}') for n in range(group)))
    calls = sum(standin.get('/stats').values()) - before
    client.close()
    return latencies, calls


def measure_daemon() -> None:
    """Measure the latency that a daemon adds to an engine call, and its requests a second."""
    flags = ['--decode-ms', '0.1', '--prefill-rate', '100000000', '--slots', '200']
    with fleets.run_fleet(daemons=1, engines=2, services=0, engine_flags=flags) as fleet:
        direct = asyncio.run(time_calls(fleet.engines[0].address, 1, 200))
        through = asyncio.run(time_calls(fleet.daemons[0].entry, 1, 200))
        microbenchmarks.print_result(
            'added_latency',
            p50_ms=round((get_percentile(direct, 50) - get_percentile(through, 50)) * -1e3, 2),
            p99_ms=round((get_percentile(direct, 99) - get_percentile(through, 99)) * -1e3, 2),
        )
        began = time.perf_counter()
        load = asyncio.run(time_calls(fleet.daemons[0].entry, 16, 1500))
        seconds = time.perf_counter() - began
        microbenchmarks.print_result(
            'daemon_throughput', requests_a_second=round(len(load) / seconds), at_once=16
        )


def measure_relay() -> None:
    """Measure the processor time of a daemon for each streamed token and each request."""
    flags = ['--decode-ms', '2', '--prefill-rate', '100000000', '--slots', '200']
    with fleets.run_fleet(daemons=1, engines=4, services=0, engine_flags=flags) as fleet:
        daemon = fleet.daemons[0]
        spent = []
        for tokens, count in ((1, 400), (401, 40)):
            before = read_process_usage(daemon)[0]
            asyncio.run(time_calls(daemon.entry, 8, count, tokens))
            spent.append((read_process_usage(daemon)[0] - before) / count)
        microbenchmarks.print_result(
            'relay',
            us_a_request=round(spent[0] * 1e6),
            us_a_token=round((spent[1] - spent[0]) / 400 * 1e6, 1),
        )


async def time_calls(address: str, at_once: int, count: int, tokens: int = 1) -> list[float]:
    """Return the times of complete responses in seconds."""
    client = web.Client()
    left = list(range(count))
    times = []

    async def work() -> None:
        while left:
            number = left.pop()
            body = {
                'model': 'flag',
                'prompt': f'q {number}' * 20,
                'max_tokens': tokens,
                'stream': True,
            }
            began = time.perf_counter()
            await client.fetch(
                'POST',
                f'http://{address}/v1/completions',
                json.dumps(body).encode(),
                fleets.make_headers(),
            )
            times.append(time.perf_counter() - began)

    await asyncio.gather(*(work() for _ in range(at_once)))
    client.close()
    return times


def measure_idle() -> None:
    """Measure processor share, peer traffic and memory of daemons without requests."""
    for count in (2, 8):
        with fleets.run_fleet(
            daemons=count, engines=5, services=0, daemon_flags=['--heartbeat', '1']
        ) as fleet:
            first = read_process_usage(fleet.daemons[0])
            began = clocks.now()
            processes.wait_until(functools.partial(is_past, began + 10), 'idle', 15)
            second = read_process_usage(fleet.daemons[0])
        microbenchmarks.print_result(
            'idle_daemon',
            daemons=count,
            processor_percent=round((second[0] - first[0]) * 10, 2),
            peer_bytes_a_second=round((second[1] - first[1]) / 10),
            resident_mb=round(second[2] / 1e6, 1),
        )


def is_past(moment: float) -> bool:
    """Return whether a time of the monotonic clock has passed."""
    return clocks.now() > moment


def read_process_usage(daemon: processes.DaemonProcess) -> tuple[float, float, float]:
    """Return processor seconds, peer bytes and resident bytes of a daemon."""
    page = processes.call('GET', f'http://{daemon.entry}/metrics')[2].decode()
    figures = {'processor': 0.0, 'bytes': 0.0}
    for line in page.splitlines():
        if line.startswith('passpier_processor_seconds'):
            figures['processor'] = float(line.split()[-1])
        if line.startswith('passpier_control_bytes_total') and 'peer' in line:
            figures['bytes'] += float(line.split()[-1])
    with open(f'/proc/{daemon.popen.pid}/statm', encoding='ascii') as file:
        resident = int(file.read().split()[1]) * 4096
    return figures['processor'], figures['bytes'], resident


def get_percentile(values: list[float], percentile: int) -> float:
    """Return a percentile of the values."""
    return sorted(values)[min(len(values) - 1, len(values) * percentile // 100)]


def main() -> None:
    """Run all measurements."""
    asyncio.run(microbenchmarks.measure_in_process())
    microbenchmarks.measure_configuration()
    measure_claims()
    measure_daemon()
    measure_relay()
    measure_idle()


if __name__ == '__main__':
    main()
