"""A router as the platform runs it: a process, its settings file, and proxies around it."""

from __future__ import annotations

import os
import pathlib
import signal

from passpier.clients import connections, exchanges
from passpier.platform import names
from passpier.standins import processes
from passpier.standins.platform import proxy

KEY_BOUND = 3.0
"""Seconds after which a key that was taken away opens nothing, as the settings say."""

ORDER_GAP = 1.5
"""Seconds between orders of two routers, as the settings say."""

VERSION_BOUND = 8.0
"""Seconds after which nothing may begin on outdated weights, as the settings say."""

STOP_BOUND = 6.0
"""Seconds after SIGTERM at which the platform kills."""

SIGNAL_MASKS = ('SigIgn:', 'SigCgt:')
"""Lines of a process's status that show which signals it ignores and which it handles."""

SETTINGS = """
node_name = "{name}"
ip = "127.0.0.1"
zone = "{zone}"
region = "here"
internal_ports = [{peer}, {peer}]
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
[platform]
address = "{store}"
"""


class RouterProcess(processes.Process):
    """A router as the platform runs it, with the proxies before and behind it."""

    def __init__(self, number: int, folder: pathlib.Path, store: str) -> None:
        name = f'vm-{number}'
        super().__init__(name, ['passpier.platform'], folder)
        self.caller, self.ready, self.directory = (
            f'127.0.0.1:{processes.pick_port()}' for _ in range(3)
        )
        self.store_link = proxy.Proxy(store)
        self.client_link = proxy.Proxy(self.caller)
        self.busy = False
        """Whether a signal's work is under way, so that no other one comes between."""

        self.slack = 40
        self._peer = processes.pick_port()
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
        """Start the process, without the variables of a test run that would reach it."""
        os.environ[names.SETTINGS_VARIABLE] = str(self._settings)
        os.environ['PASSPIER_METRICS_PORT'] = str(self._metrics)
        super().start()

    async def is_ready(self, pool: connections.Pool) -> bool:
        """Return whether the router says that clients should be sent to it."""
        request = exchanges.Request('GET', names.READY_PATH, [('Host', self.ready)])
        try:
            answer = await pool.fetch(self.ready, request, 1.0)
        except exchanges.ExchangeError:
            return False
        return answer.head.status == 200

    def write_settings(self) -> None:
        """Write the settings file; a process that starts just then reads the old or the new one."""
        text = SETTINGS.format(
            name=self.name,
            zone=self._zone,
            peer=self._peer,
            caller=self.caller,
            ready=self.ready,
            directory=self.directory,
            grace=STOP_BOUND,
            key_ms=int(KEY_BOUND * 1000),
            lease_ms=int(ORDER_GAP * 1000),
            version_ms=int(VERSION_BOUND * 1000),
            slack=self.slack,
            store=self.store_link.address,
        )
        draft = self._settings.with_suffix('.new')
        draft.write_text(text)
        draft.replace(self._settings)

    @property
    def runs(self) -> bool:
        """Whether the process runs."""
        return self.popen.poll() is None

    def hears(self, number: signal.Signals) -> bool:
        """Return whether the process ignores or handles a signal: its own code has begun.

        Before that, for some tens of milliseconds, the interpreter itself starts, and no program
        can keep a signal from ending it.
        """
        if not self.runs:
            return False
        status = pathlib.Path(f'/proc/{self.popen.pid}/status').read_text()
        masks = [line.split()[1] for line in status.splitlines() if line.startswith(SIGNAL_MASKS)]
        return any(int(mask, 16) >> (number - 1) & 1 for mask in masks)

    async def close(self) -> None:
        """End everything."""
        if self.runs:
            self.send(signal.SIGCONT)
            self.kill()
        await self.store_link.stop()
        await self.client_link.stop()
