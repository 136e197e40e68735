"""Reports invalid instructions with the innermost stack frames at the end of the output.

Supervisors often keep only the last lines that a process has written, while `faulthandler` writes
the innermost frame first. The handler runs Python code within a signal handler, which is unsafe in
general; the process ends here in any case.
"""

from __future__ import annotations

import ctypes
import faulthandler
import os
import signal
import sys
import types

FRAMES = 5
"""Number of frames that are repeated at the end."""

STDERR = 2

_Handler = ctypes.CFUNCTYPE(None, ctypes.c_int)


def install() -> None:
    """Install the handler for invalid instructions, in place of that of `faulthandler`."""
    _libc.signal(int(signal.SIGILL), _handler)


def _handle(number: int) -> None:
    os.write(STDERR, b'Fatal Python error: Illegal instruction\n\n')
    faulthandler.dump_traceback(STDERR)
    os.write(STDERR, '\n'.join(['Innermost frames:', *_describe_frames(), '']).encode())
    # The default action ends the process as the signal would have done.
    _libc.signal(number, ctypes.cast(signal.SIG_DFL.value, _Handler))
    os.kill(os.getpid(), number)


def _describe_frames() -> list[str]:
    frame: types.FrameType | None = sys._getframe(2)
    lines: list[str] = []
    while frame is not None and len(lines) < FRAMES:
        code = frame.f_code
        lines.append(f'  {code.co_filename}:{frame.f_lineno} in {code.co_name}')
        frame = frame.f_back
    return lines


_handler = _Handler(_handle)
"""Kept as long as the process runs: the C library refers to it."""

_libc = ctypes.CDLL(None)
