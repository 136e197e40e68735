"""Extracting the log lines of a request from log files."""

from __future__ import annotations

import json
import pathlib

import pytest

from passpier import exceptions
from passpier.commands import main, traces


def write(path: pathlib.Path, *lines: dict[str, object]) -> None:
    text = ''.join(f'12.5 vm-1 {json.dumps(line)}\n' for line in lines)
    path.write_text('not a line of ours\n{torn\n' + text)


def make_line(time: str, event: str, **more: object) -> dict[str, object]:
    return {'time': time, 'daemon': 'vm-1', 'event': event, 'request': 'r1', **more}


def test_lines_of_all_files_are_sorted_by_time(tmp_path: pathlib.Path) -> None:
    candidates = [{'upstream': 'a', 'wait': 0.1}]
    write(
        tmp_path / 'one.log',
        make_line('10:00:02', 'request ended', outcome='answered'),
        make_line('10:00:01', 'other') | {'request': 'r2'},
    )
    write(tmp_path / 'two.log', make_line('10:00:01', 'routing decision', candidates=candidates))
    lines = traces.read_lines([str(tmp_path / '*.log')], 'r1')
    assert [line['event'] for line in lines] == ['routing decision', 'request ended']
    text = traces.render(lines)
    assert text.splitlines() == [
        '10:00:01 vm-1 routing decision: ',
        '    upstream=a wait=0.1',
        '10:00:02 vm-1 request ended: outcome=answered',
    ]


def test_missing_files_are_a_finding(tmp_path: pathlib.Path) -> None:
    with pytest.raises(exceptions.FindingsError):
        traces.read_lines([str(tmp_path / '*.log')], 'r1')


def test_the_command_reads_logs(tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]) -> None:
    write(tmp_path / 'one.log', make_line('10:00:02', 'request ended', outcome='answered'))
    main.Commands().explain('r1', logs=str(tmp_path / '*.log'))
    assert 'outcome=answered' in capsys.readouterr().out
    main.Commands().explain('r9', logs=str(tmp_path / '*.log'))
    assert 'no line about r9' in capsys.readouterr().out
