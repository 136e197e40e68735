"""The platform's settings file: unknown fields are ignored, all findings are reported at once."""

from __future__ import annotations

import asyncio
import importlib
import pathlib
import platform
import runpy
import signal
import subprocess
import sys
from unittest import mock

import msgspec
import pytest

from passpier import exceptions
from passpier.core import features
from passpier.platform import main, settings
from passpier.routing import router

VALID = """
node_name = "edge-1"
ip = "10.1.0.30"
zone = "hall"
region = "north"
internal_ports = [7340, 7355]
something_new = 7
[listen]
frontend = "10.1.0.30:8782"
ready = "10.1.0.30:8789"
directory = "10.1.0.30:8780"
[bounds]
revoke_ms = 4000
lease_ms = 3000
unheard_of = true
[platform]
address = "10.200.1.7:8784"
"""


def write(folder: pathlib.Path, text: str) -> str:
    path = folder / 'settings.toml'
    path.write_text(text)
    return str(path)


def test_valid_file_is_converted_to_options(tmp_path: pathlib.Path) -> None:
    options = main.build_options(settings.load_settings(write(tmp_path, VALID)))
    assert options.name == 'edge-1'
    assert options.failure_domain == 'hall'
    assert options.key_bound == 4.0
    assert options.order_hold == 3.0
    assert options.peer_port == 7340


def test_memory_is_optional(tmp_path: pathlib.Path) -> None:
    """Guards against a router that does not start where the platform does not state the memory."""
    without = main.build_options(settings.load_settings(write(tmp_path, VALID)))
    assert without.memory_mb is None
    text = VALID + '[limits]\ncpu_quota = 0.5\nmemory_mb = 128\n'
    assert main.build_options(settings.load_settings(write(tmp_path, text))).memory_mb == 128


def test_addresses_can_be_encoded_for_the_registry(tmp_path: pathlib.Path) -> None:
    """The encoder accepts `str`, but no subclass of it."""
    options = main.build_options(settings.load_settings(write(tmp_path, VALID)))
    addresses = [options.ip, options.caller, options.ready, options.directory]
    assert msgspec.json.decode(msgspec.json.encode(addresses)) == addresses


@pytest.mark.parametrize(
    ('before', 'after', 'location'),
    [
        ('"10.1.0.30"', '"here"', 'ip'),
        ('"10.1.0.30:8789"', '"10.1.0.30:0"', 'listen.ready'),
        ('"10.200.1.7:8784"', '8784', 'platform.address'),
        ('revoke_ms = 4000', 'quota_window_s = 0', 'bounds.quota_window_s'),
        ('revoke_ms = 4000', 'revoke_ms = 700', 'bounds.revoke_ms'),
        ('[7340, 7355]', '[7340]', 'internal_ports'),
        ('node_name = "edge-1"', 'node_name = ""', 'node_name'),
    ],
)
def test_each_kind_of_error_is_found(
    tmp_path: pathlib.Path, before: str, after: str, location: str
) -> None:
    with pytest.raises(exceptions.FindingsError) as caught:
        settings.load_settings(write(tmp_path, VALID.replace(before, after)))
    (finding,) = caught.value.findings
    assert finding.place.endswith(location)


def test_all_findings_are_reported_at_once(tmp_path: pathlib.Path) -> None:
    broken = VALID.replace('"10.1.0.30:8782"', '"nowhere"').replace('zone = "hall"\n', '')
    with pytest.raises(exceptions.FindingsError) as caught:
        settings.load_settings(write(tmp_path, broken))
    places = [f.place for f in caught.value.findings]
    assert len(places) == 2
    assert any('zone' in p for p in places)
    assert any('listen.frontend' in p for p in places)


@pytest.mark.parametrize('text', ['no toml [', None])
def test_unreadable_file_is_a_finding(tmp_path: pathlib.Path, text: str | None) -> None:
    path = str(tmp_path / 'missing') if text is None else write(tmp_path, text)
    with pytest.raises(exceptions.FindingsError):
        settings.load_settings(path)


def test_all_environment_variables_are_checked() -> None:
    assert main.read_environment({}) == main.Environment(main.METRICS_PORT, 'info', features.ALL)
    with pytest.raises(exceptions.FindingsError) as caught:
        main.read_environment(
            {
                main.METRICS_VARIABLE: '0',
                main.LEVEL_VARIABLE: 'loud',
                main.FEATURES_VARIABLE: 'no_such_feature',
            }
        )
    assert len(caught.value.findings) == 3


def test_sighup_is_ignored_before_the_main_module_is_imported(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    handlers = []

    def load(name: str) -> object:
        handlers.append((name, signal.getsignal(signal.SIGHUP)))
        raise SystemExit

    monkeypatch.setattr(importlib, 'import_module', load)
    before = signal.getsignal(signal.SIGHUP)
    try:
        with pytest.raises(SystemExit):
            runpy.run_path(
                str(pathlib.Path(main.__file__).with_name('__main__.py')), {}, '__main__'
            )
    finally:
        signal.signal(signal.SIGHUP, before)
    assert handlers == [('passpier.platform.main', signal.SIG_IGN)]


def test_sigterm_after_the_loop_is_closed_raises_nothing() -> None:
    """A second SIGTERM may arrive in the last milliseconds of a process."""
    loop = asyncio.new_event_loop()
    loop.close()
    process = mock.create_autospec(router.Router, instance=True)
    main._handle_sigterm(loop, process, signal.SIGTERM, None)


@pytest.mark.parametrize('number', [signal.SIGILL, signal.SIGSEGV, signal.SIGABRT])
def test_crash_in_native_code_writes_a_traceback(number: signal.Signals) -> None:
    program = (
        'import os, runpy\n'
        "runpy.run_module('passpier.platform.__main__', run_name='loading')\n"
        f'os.kill(os.getpid(), {int(number)})\n'
    )
    finished = subprocess.run([sys.executable, '-c', program], capture_output=True, check=False)
    assert finished.returncode == -number
    assert b'Fatal Python error' in finished.stderr
    assert b'line 3' in finished.stderr


def test_the_innermost_frames_of_an_invalid_instruction_come_last() -> None:
    """Guards against losing the function that crashed: supervisors keep the last lines only."""
    invalid = [0x0F, 0x0B] if platform.machine() == 'x86_64' else [0] * 4
    program = (
        'import ctypes, mmap, runpy\n'
        "runpy.run_module('passpier.platform.__main__', run_name='loading')\n"
        'code = mmap.mmap(-1, 4096, prot=mmap.PROT_READ | mmap.PROT_WRITE | mmap.PROT_EXEC)\n'
        f'code.write(bytes({invalid}))\n'
        'address = ctypes.addressof(ctypes.c_char.from_buffer(code))\n'
        'def crash(): ctypes.CFUNCTYPE(None)(address)()\n'
        'def recurse(n): return recurse(n - 1) if n else crash()\n'
        'recurse(20)\n'
    )
    finished = subprocess.run([sys.executable, '-c', program], capture_output=True, check=False)
    assert finished.returncode == -signal.SIGILL
    last_lines = finished.stderr.splitlines()[-6:]
    assert b'Fatal Python error' in finished.stderr
    assert last_lines[0] == b'Innermost frames:'
    assert last_lines[1].endswith(b'in crash')
