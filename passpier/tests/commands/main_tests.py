"""The command line: output, exit codes, and one line of error if no daemon responds."""

from __future__ import annotations

import json
import re
import subprocess
import sys
from collections.abc import Iterator

import pytest
from syrupy.assertion import SnapshotAssertion

from passpier.standins import fleets, processes
from passpier.utils import differences


@pytest.fixture(scope='module')
def fleet() -> Iterator[fleets.Fleet]:
    with fleets.run_fleet(daemons=2, engines=1) as started:
        yield started


def run(fleet: fleets.Fleet, *arguments: str) -> subprocess.CompletedProcess[str]:
    return processes.run_cli(fleet.daemons[0], *arguments)


def normalise(text: str) -> str:
    """Replace the parts of an output that differ from run to run."""
    text = re.sub(r'127\.0\.0\.1:\d+', 'ADDRESS', text)
    text = re.sub(r'[0-9a-f]{32}', 'ID', text)
    text = re.sub(r'(wait|prefill|recompute|crowding|waited) +[\d.]+', r'\1 N', text)
    return re.sub(r' +', ' ', text)


def build_second_schema(fleet: fleets.Fleet) -> str:
    """Return the path of a schema file that differs from the one in force at the start."""
    schema = fleet.build_schema()
    schema['services'][0]['priority'] = 0
    schema['accounts'] = schema['accounts'][:1]
    return str(fleet.write_schema(schema))


def test_validate_plan_apply_show(fleet: fleets.Fleet, snapshot: SnapshotAssertion) -> None:
    path = build_second_schema(fleet)
    assert run(fleet, 'validate', path).returncode == 0
    planned = run(fleet, 'plan', path)
    assert planned.stdout == snapshot
    applied = run(fleet, 'apply', path, '--wait')
    assert (applied.returncode, applied.stdout) == (
        0,
        'revision 2 accepted and in force everywhere\n',
    )
    stale = run(fleet, 'apply', path, '--base-revision', '1')
    assert stale.returncode == 4
    assert "'base': 1, 'in_force': 2" in stale.stderr
    shown = json.loads(run(fleet, '--json', 'show').stdout)
    assert shown['revision'] == 2


def test_status_entries_explain(fleet: fleets.Fleet, snapshot: SnapshotAssertion) -> None:
    if json.loads(run(fleet, '--json', 'show').stdout)['revision'] == 1:
        # Another worker runs the test that applies the second schema.
        assert run(fleet, 'apply', build_second_schema(fleet), '--wait').returncode == 0
    assert normalise(run(fleet, 'status').stdout) == snapshot
    entries = json.loads(run(fleet, '--json', 'entries', 'tower').stdout)
    assert {e['address'] for e in entries} == {d.entry for d in fleet.daemons}
    response = fleet.complete(1, 'explain me')
    explained = run(fleet, 'explain', response.headers['X-Request-Id'])
    assert 'engine-1 by cost' in explained.stdout
    missing = run(fleet, 'explain', 'no-such-request')
    assert (missing.returncode, missing.stdout) == (5, '')


def test_invalid_files_and_unreachable_daemons(fleet: fleets.Fleet) -> None:
    bad = fleet.process_group.folder / 'bad.yaml'
    bad.write_text('fleet: f\nextra: 1\nservices: [{name: s, pool: p}]\n')
    refused = run(fleet, 'apply', str(bad))
    assert refused.returncode == 1
    assert 'bad.yaml:2 extra' in refused.stderr
    assert run(fleet, 'validate', 'none.yaml').returncode == 1
    unreachable = run(fleet, '--daemon', '127.0.0.1:1', 'status')
    assert unreachable.returncode == 3
    assert len(unreachable.stderr.strip().splitlines()) == 1
    wrong = run(fleet, '--secret', 'another-secret', 'status')
    assert wrong.returncode == 3
    assert 'secret' in wrong.stderr


def test_drain_stops_a_daemon(fleet: fleets.Fleet) -> None:
    assert run(fleet, 'drain', 'nobody').returncode == 5
    assert run(fleet, 'drain', 'vm-2').returncode == 0
    assert fleet.daemons[1].popen.wait(20) == 0


def test_schema_and_version() -> None:
    for command in ('schema', 'version'):
        done = subprocess.run(
            [sys.executable, '-m', 'passpier.commands.main', command],
            capture_output=True,
            text=True,
            check=False,
        )
        assert done.returncode == 0
        assert done.stdout


def test_daemon_with_invalid_settings_does_not_start() -> None:
    done = subprocess.run(
        [sys.executable, '-m', 'passpier.daemon.main', '--name', 'X Y', '--peer-port', '-1'],
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 2
    assert len(done.stderr.strip().splitlines()) == 3


def test_differences_name_their_path() -> None:
    old = {'fleet': 'a', 'pools': [{'name': 'p', 'n': 1}, {'name': 'q'}]}
    new = {'fleet': 'b', 'pools': [{'name': 'p', 'n': 2}, {'name': 'r'}]}
    assert [str(c) for c in differences.compare(old, new)] == [
        "~ fleet: 'a' to 'b'",
        '~ pools.p.n: 1 to 2',
        '- pools.q',
        '+ pools.r',
    ]
