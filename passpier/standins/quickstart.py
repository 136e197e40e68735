"""Runs the main use case once, end to end, with separate processes; used by `make quickstart`."""

from __future__ import annotations

import json
import sys

from passpier.standins import processes

EXAMPLE = 'docs/examples/radar-desk.yaml'
KEY = 'tower-key'
STATION_LOG = ' '.join(f'scan {i}: sector {i % 12}, {20 + i % 37} dBZ.' for i in range(60))


def main() -> None:
    """Start everything, send two requests, explain the cache hit of the second one, stop."""
    with processes.run_process_group() as trial:
        daemons = start(trial)
        apply(trial, daemons[0])
        first = ask(daemons[0], STATION_LOG + ' Any squall now?')
        second = ask(daemons[1], STATION_LOG + ' And hail?')
        explain(daemons[0], first)
        explain(daemons[0], second)
        print(processes.run_cli(daemons[0], 'status').stdout)
        for process in reversed(trial.processes):
            code = process.stop()
            print(f'{process.name}: stopped, exit code {code}')
            if code:
                sys.exit(1)


def start(trial: processes.ProcessGroup) -> list[processes.DaemonProcess]:
    """Start stand-ins and two daemons."""
    folder = trial.folder
    store = processes.Standin('store', 'store', folder)
    vms = processes.Standin('vms', 'vms', folder)
    engines = [processes.EngineProcess(f'engine-{i}', folder) for i in (1, 2)]
    tiles = processes.Standin('tiles-1', 'service', folder)
    trial.add(store, vms, *engines, tiles)
    for standin in (store, vms, *engines, tiles):
        processes.wait_for_port(standin.address)
    flags = ['--vm-list', vms.address, '--entry-ttl', '1', '--drain-bound', '20']
    daemons = [
        processes.DaemonProcess(f'vm-{i}', folder, store.address, f'hall-{i}', flags)
        for i in (1, 2)
    ]
    trial.add(*daemons)
    for daemon in daemons:
        processes.wait_for_port(daemon.operators)
    return daemons


def apply(trial: processes.ProcessGroup, daemon: processes.DaemonProcess) -> None:
    """Apply the example configuration through the command line."""
    addresses = {}
    for process in trial.processes:
        if isinstance(process, processes.EngineProcess):
            addresses[process.name] = {
                'address': process.address,
                'events': process.events,
                'replay': process.replay,
            }
        elif isinstance(process, processes.Standin):
            addresses[process.name] = {'address': process.address}
    path = processes.write_schema(trial.folder, EXAMPLE, addresses)
    for arguments in (['plan', str(path)], ['apply', str(path), '--wait']):
        done = processes.run_cli(daemon, *arguments)
        print(f'$ passpier {arguments[0]}\n{done.stdout}{done.stderr}')
        if done.returncode:
            sys.exit(done.returncode)
    processes.wait_until(lambda: daemon.rpc('status')['result']['shares_settled'], 'shares')


def ask(daemon: processes.DaemonProcess, prompt: str) -> str:
    """Request a streamed completion, print it, and return its request id."""
    body = {'model': 'hazard-flag', 'prompt': prompt, 'max_tokens': 12, 'stream': True}
    status, headers, data = processes.call(
        'POST',
        f'http://{daemon.entry}/v1/completions',
        body,
        {'Authorization': f'Bearer {KEY}', 'Content-Type': 'application/json'},
    )
    if status != 200:
        print(data.decode())
        sys.exit(1)
    events = [line[6:] for line in data.decode().splitlines() if line.startswith('data: ')]
    chunks = [json.loads(event) for event in events if event != '[DONE]']
    text = ''.join(chunk['choices'][0]['text'] for chunk in chunks)
    print(f'{daemon.name} answered{text}\n  usage {json.dumps(chunks[-1]["usage"])}')
    return headers['X-Request-Id']


def explain(daemon: processes.DaemonProcess, request: str) -> None:
    """Print the routing decisions of a request."""
    done = processes.run_cli(daemon, 'explain', request)
    print(f'$ passpier explain {request}\n{done.stdout}{done.stderr}')


if __name__ == '__main__':
    main()
