"""Entry point of the router: sets up signals, then imports the rest, which takes a while.

The platform may send SIGHUP at any time to announce changed settings. The signal is ignored until
its handler is installed, because its default action would terminate the process. Nothing is lost:
the settings are read later.

Native libraries may crash the process while they are imported, by an invalid instruction or an
invalid address. The traceback is then written to standard error; nothing else would report it.
"""

from __future__ import annotations

import faulthandler
import importlib
import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)
faulthandler.enable()

from passpier.platform import crash_traces  # noqa: E402

crash_traces.install()

if __name__ == '__main__':
    # A top-level import would run before SIGHUP is ignored.
    importlib.import_module('passpier.platform.main').main()
