"""A router process as the platform runs it, with its settings file and proxies around it."""

from __future__ import annotations

import os
import pathlib
import signal

from passpier.clients import connections, exchanges
from passpier.platform import names
from passpier.standins import processes
from passpier.standins.platform import invariants, proxy

PROGRAM = 'passpier.platform'
"""The module that runs as a router."""

KEY_BOUND = 3.0
"""Seconds after which a revoked key is rejected, as in the settings."""

ORDER_GAP = 1.5
"""Minimum seconds between orders of two routers, as in the settings."""

VERSION_BOUND = 8.0
"""Seconds after which no request may start on outdated weights, as in the settings."""

RETRY_SLACKS = (20, 60)
"""Least and greatest slack of the retry budget that settings are given."""

DEFAULT_RETRY_SLACK = 40
"""Slack of the retry budget in the settings, unless they are changed."""

DEFAULT_RETRY_ALLOWANCE = invariants.RetryAllowance(0.2, DEFAULT_RETRY_SLACK, 10.0)
"""Retries that all routers together may send with that slack."""

MAX_RETRY_ALLOWANCE = invariants.RetryAllowance(0.2, RETRY_SLACKS[1], 10.0)
"""Retries that all routers together may send with any of these settings."""

STOP_BOUND = 6.0
"""Seconds after SIGTERM at which the platform kills a process."""

SIGNAL_MASKS = ('SigIgn:', 'SigCgt:')
"""Lines of a process's status file with the masks of ignored and of handled signals."""

SETTINGS = """
node_name = "{name}"
ip = "127.0.0.1"
zone = "{zone}"
region = "here"
internal_ports = [{peer}, {tunnel}]
[listen]
frontend = "{caller}"
ready = "{ready}"
directory = "{directory}"
[bounds]
grace_s = {grace}
revoke_ms = {key_ms}
lease_ms = {lease_ms}
version_ms = {version_ms}
retry_budget_slack = {slack}
budget_window_s = {window}
[platform]
address = "{store}"
"""


class RouterProcess(processes.Process):
    """A router process, with a proxy for its clients and one in front of the store."""

    def __init__(
        self, number: int, folder: pathlib.Path, store: str, program: str = PROGRAM
    ) -> None:
        name = f'vm-{number}'
        super().__init__(name, [program], folder)
        self.caller, self.ready, self.directory = (
            f'127.0.0.1:{processes.pick_port()}' for _ in range(3)
        )
        self.store_link = proxy.Proxy(store)
        self.client_link = proxy.Proxy(self.caller)
        self.busy = False
        """Whether a fault is being injected into the process, which excludes further ones."""

        self.retry_slack: float = DEFAULT_RETRY_SLACK
        self.retry_window = DEFAULT_RETRY_ALLOWANCE.window
        self._peer, self._tunnel = sorted(processes.pick_port() for _ in range(2))
        self._metrics = processes.pick_port()
        self._zone = f'zone-{number % 2}'
        self._settings = folder / f'{name}.toml'

    async def open(self) -> None:
        """Start the proxies and the process."""
        await self.store_link.start()
        await self.client_link.start()
        self.write_settings()
        self.start()

    def start(self) -> None:
        """Start the process, with its own settings in place of those of a test run."""
        os.environ[names.SETTINGS_VARIABLE] = str(self._settings)
        os.environ['PASSPIER_METRICS_PORT'] = str(self._metrics)
        super().start()

    async def is_ready(self, pool: connections.Pool) -> bool:
        """Return whether the router reports that it is ready for clients."""
        request = exchanges.Request('GET', names.READY_PATH, [('Host', self.ready)])
        try:
            answer = await pool.fetch(self.ready, request, 1.0)
        except exchanges.ExchangeError:
            return False
        return answer.head.status == 200

    def write_settings(self) -> None:
        """Replace the settings file atomically, as a process may be reading it."""
        text = SETTINGS.format(
            name=self.name,
            zone=self._zone,
            peer=self._peer,
            tunnel=self._tunnel,
            caller=self.caller,
            ready=self.ready,
            directory=self.directory,
            grace=STOP_BOUND,
            key_ms=int(KEY_BOUND * 1000),
            lease_ms=int(ORDER_GAP * 1000),
            version_ms=int(VERSION_BOUND * 1000),
            slack=self.retry_slack,
            window=self.retry_window,
            store=self.store_link.address,
        )
        draft = self._settings.with_suffix('.new')
        draft.write_text(text)
        draft.replace(self._settings)

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.popen.poll() is None

    def handles_signal(self, number: signal.Signals) -> bool:
        """Return whether the process ignores or handles a signal.

        It does so as soon as its own code runs. Before that, while the interpreter starts for some
        tens of milliseconds, the signal terminates the process, and no program can prevent it.
        """
        if not self.is_running:
            return False
        status = pathlib.Path(f'/proc/{self.popen.pid}/status').read_text()
        masks = [line.split()[1] for line in status.splitlines() if line.startswith(SIGNAL_MASKS)]
        return any(int(mask, 16) >> (number - 1) & 1 for mask in masks)

    async def close(self) -> None:
        """Kill the process and stop the proxies."""
        if self.is_running:
            self.send(signal.SIGCONT)
            self.kill()
        await self.store_link.stop()
        await self.client_link.stop()
