"""Log output is rate-limited and never blocks."""

from __future__ import annotations

import logging
import os

from passpier.daemon import logs


def make_record(text: str, level: int = logging.INFO) -> logging.LogRecord:
    return logging.LogRecord('x', level, '', 0, text, (), None)


def test_a_slow_reader_loses_lines_but_does_not_block() -> None:
    read, write = os.pipe()
    handler = logs.BoundedHandler(write)
    for number in range(1500):
        handler.emit(make_record(f'{number} ' + 'x' * 200))
    assert handler.left_out > 0
    data = os.read(read, 10_000_000)
    handler.emit(make_record('after'))
    data += os.read(read, 10_000_000)
    lines = data.decode().split('\n')
    # Each line that arrived is complete.
    assert all(line.endswith('x' * 200) for line in lines[:-2])
    assert lines[-2] == 'after'
    os.close(read)
    handler.emit(make_record('nobody reads this'))
    os.close(write)


def test_lines_over_the_limit_are_dropped_except_warnings() -> None:
    read, write = os.pipe()
    handler = logs.BoundedHandler(write)
    handler._allowance = 2.0
    for _ in range(10):
        handler.emit(make_record('info'))
    handler.emit(make_record('warning', logging.WARNING))
    data = os.read(read, 100_000).decode().splitlines()
    assert data.count('info') <= 3
    assert data[-1] == 'warning'
    os.close(read)
    os.close(write)
