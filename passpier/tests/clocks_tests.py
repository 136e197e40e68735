"""Tests of `passpier.clocks`: the clock counts suspensions of the VM, and so do all time bounds."""

from __future__ import annotations

import asyncio
import pathlib
import re
import subprocess
import sys
import time

import pytest

import passpier
from passpier import clocks
from passpier.standins import suspension

ROOT = pathlib.Path(passpier.__file__).parent
CLOCK_READS = re.compile(
    r'\btime\.(monotonic|time|time_ns|monotonic_ns|perf_counter|clock_gettime)\b'
    r'|datetime\.(now|utcnow)\(|^from time import',
    re.MULTILINE,
)


def test_no_other_module_reads_the_system_clocks() -> None:
    for path in sorted(ROOT.rglob('*.py')):
        relative = path.relative_to(ROOT).as_posix()
        if relative.startswith(('tests/', 'standins/')) or relative == 'clocks.py':
            continue
        assert not CLOCK_READS.search(path.read_text()), relative


def test_clock_counts_a_suspension(monkeypatch: pytest.MonkeyPatch) -> None:
    suspended = suspension.Suspension(monkeypatch.setattr)
    monotonic_before = time.monotonic()
    before = clocks.now()
    suspended.advance(5.0)
    passed = clocks.now() - before
    assert passed >= 5.0
    assert passed - (time.monotonic() - monotonic_before) <= 5.0


def test_each_suspension_is_detected_once(monkeypatch: pytest.MonkeyPatch) -> None:
    suspended = suspension.Suspension(monkeypatch.setattr)
    detector = clocks.SuspensionDetector()
    assert not detector.poll()
    suspended.advance(0.3)
    assert detector.poll() == pytest.approx(0.3, abs=0.05)
    assert not detector.poll()
    suspended.advance(20.0)
    assert detector.poll() == pytest.approx(20.0, abs=0.05)


def test_start_of_the_process_counts_the_time_until_its_code_runs() -> None:
    code = (
        'import time; time.sleep(0.5)\n'
        'from passpier import clocks; print(clocks.now() - clocks.read_process_start())'
    )
    output = subprocess.run([sys.executable, '-c', code], capture_output=True, check=True).stdout
    assert float(output) > 0.49


def test_unknown_start_of_the_process_is_the_present(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(pathlib.Path, 'read_text', lambda self: 'python)')
    before = clocks.now()
    assert before <= clocks.read_process_start() <= clocks.now()


def test_timers_due_after_a_suspension_run_in_the_next_loop_iteration(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    suspended = suspension.Suspension(monkeypatch.setattr)

    async def run() -> None:
        due = asyncio.get_running_loop().create_future()
        asyncio.get_running_loop().call_later(60.0, due.set_result, None)
        suspended.advance(61.0)
        for _ in range(10):
            await asyncio.sleep(0.01)
        assert due.done()

    clocks.run(run())
