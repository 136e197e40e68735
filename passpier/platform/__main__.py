"""Starts the router: makes signals safe first, then loads the rest, which takes a while.

The platform may tell at any moment that the settings have changed. Until that can be acted on it is
ignored, as the settings are read after this; unhandled, the signal would end the process.

Libraries in native code may end the process at their load, by an invalid instruction or a bad
address. What ran then is written to standard error; nothing else could tell.
"""

from __future__ import annotations

import faulthandler
import importlib
import signal

faulthandler.enable()

signal.signal(signal.SIGHUP, signal.SIG_IGN)

if __name__ == '__main__':
    # Not imported above, where it would be loaded before the signal is ignored.
    importlib.import_module('passpier.platform.main').main()
