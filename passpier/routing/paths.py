"""Chooses how this process reaches each replica: directly, or by a tunnel through a peer.

A VM may lose its links to replicas that others still reach. So whoever asks a replica whether it is
alive asks it through some peers as well, unless it answers directly at once. If it answers only
through a peer, everything but orders goes that way until the direct path works again.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Sequence

import msgspec

from passpier import clocks
from passpier.clients import connections, exchanges
from passpier.core import detours, members
from passpier.routing import dialect

log = logging.getLogger(__name__)

HEAD_START = 0.1
"""Seconds in which only the direct path is tried; a report takes milliseconds."""

DIRECT_GRACE = 0.15
"""Seconds that the direct path has left once a replica has answered through a peer."""

PEERS_ASKED = 3
"""Peers through which a replica is asked at once."""

EAGER_ASKS = 4
"""Times in a row that peers are asked for a replica that doesn't answer, before `ASK_INTERVAL`
limits them: it is probably down."""

ASK_INTERVAL = 2.0
"""Seconds between asking peers for a replica that is probably down."""


CHECK_PERIOD = 0.25
"""Seconds between rounds of checks whether direct paths work again."""

CHECKS_PER_PERIOD = 8
"""Maximum number of direct paths that are checked in a round."""


class _Asks(msgspec.Struct):
    """How often peers were asked for a replica since it last answered, and when last."""

    count: int = 0
    last_at: float = float('-inf')
    refused: set[str] = msgspec.field(default_factory=set)
    """The peers that couldn't connect to the replica."""


class Paths:
    """The paths to all replicas; `report` asks a replica by the direct one and through peers."""

    def __init__(
        self,
        membership: members.Membership,
        pool: connections.Pool,
        engines: dialect.Engines,
        rng: random.Random,
    ) -> None:
        self._membership = membership
        self._pool = pool
        self._engines = engines
        self._rng = rng
        self._detours = detours.Detours()
        self._asks: dict[str, _Asks] = {}
        self._needs_connection: set[str] = set()
        """Addresses to which a new connection failed: an answer on an old one proves nothing."""

        self._checks: set[asyncio.Task[None]] = set()
        self.on_lost: Callable[[str], None] = lambda address: None
        """Called when the direct path to an address has failed and a peer reaches it."""

    async def run(self) -> None:
        """Check the direct paths of all detours until cancelled."""
        while True:
            await asyncio.sleep(CHECK_PERIOD)
            for address, detour in self._detours.take_due(clocks.now(), CHECKS_PER_PERIOD):
                self._start_check(address, detour)

    def choose(self, address: str) -> str:
        """Return the peer through which to reach an address; empty for the direct path."""
        return self._detours.get_proxy(address)

    def is_direct(self, address: str) -> bool:
        """Return whether an address is reached without a peer."""
        return not self.choose(address)

    def note_connect_failure(self, address: str) -> None:
        """Record that no new connection came up, so that the next report has to use one."""
        self._needs_connection.add(address)

    def forget(self, address: str) -> None:
        """Drop what is known of an address whose process has ended."""
        self._detours.forget(address)
        self._asks.pop(address, None)
        self._needs_connection.discard(address)

    def stop(self) -> None:
        """Cancel all checks."""
        for task in self._checks:
            task.cancel()

    async def report(self, address: str, incarnation: str) -> dialect.Report:
        """Return a replica's report by whichever path it arrives; raises `ExchangeError`."""
        is_new = address in self._needs_connection
        self._needs_connection.discard(address)
        direct = asyncio.ensure_future(self._engines.report(address, incarnation, '', is_new))
        proxies: dict[asyncio.Future[dialect.Report], str] = {direct: ''}
        try:
            await asyncio.wait([direct], timeout=HEAD_START)
            if not _has_answered(direct) and self._may_ask_peers(address):
                for proxy in self._choose_peers(address):
                    asked = self._engines.report(address, incarnation, proxy)
                    proxies[asyncio.ensure_future(asked)] = proxy
            answered = await self._wait_answered(direct, set(proxies))
            self._apply(address, incarnation, proxies[answered], direct)
            return answered.result()
        finally:
            for task in proxies:
                task.cancel()
            await asyncio.gather(*proxies, return_exceptions=True)
            if address in self._asks:
                self._asks[address].refused |= {p for t, p in proxies.items() if _is_refused(t)}

    async def _wait_answered(
        self, direct: asyncio.Future[dialect.Report], pending: set[asyncio.Future[dialect.Report]]
    ) -> asyncio.Future[dialect.Report]:
        """Return the first call that the replica answers, or the direct one if it never does."""
        while pending:
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            answered = [task for task in done if _has_answered(task)]
            if answered and direct in pending:
                await asyncio.wait([direct], timeout=DIRECT_GRACE)
            if _has_answered(direct):
                return direct
            if answered:
                return answered[0]
        return direct

    def _apply(
        self,
        address: str,
        incarnation: str,
        proxy: str,
        direct: asyncio.Future[dialect.Report],
    ) -> None:
        """Apply which path a replica has answered by, if any."""
        if not proxy and not _has_answered(direct):
            return
        self._asks.pop(address, None)
        if not proxy:
            self._return(address)
            return
        before = connections.Path(address, self._detours.get_proxy(address))
        if not self._detours.begin(address, proxy, incarnation, clocks.now()):
            return
        self._pool.note_path_lost(before)
        error = str(direct.exception()) if direct.done() else 'no answer in time'
        fields = {'address': address, 'upstream': incarnation, 'proxy': proxy}
        log.warning(
            'upstream reached through a peer',
            extra={**fields, 'before': before.proxy, 'error': error, 'all': len(self._detours)},
        )
        if direct.done():
            self.on_lost(address)

    def _return(self, address: str) -> None:
        proxy = self._detours.get_proxy(address)
        if not self._detours.end(address, clocks.now()):
            return
        self._detours.check_all(clocks.now())
        self._pool.note_path_lost(connections.Path(address, proxy))
        fields = {'address': address, 'proxy': proxy, 'all': len(self._detours)}
        log.info('upstream reached directly again', extra=fields)

    def _may_ask_peers(self, address: str) -> bool:
        asks = self._asks.setdefault(address, _Asks())
        now = clocks.now()
        if asks.count >= EAGER_ASKS and now - asks.last_at < ASK_INTERVAL:
            return False
        asks.count += 1
        asks.last_at = now
        return True

    def _choose_peers(self, address: str) -> list[str]:
        """Return the peers to ask: those that reach replicas for us, then some in each domain.

        Peers that have refused are asked again once all have.
        """
        own = self._membership.own
        now = clocks.now()
        serving = [m for m in self._membership.list_serving(now) if m != own and m.tunnel_port]
        self._rng.shuffle(serving)
        known = self._detours.list_proxies()
        current = self._detours.get_proxy(address)
        ranked = sorted(serving, key=lambda m: (m.tunnel != current, m.tunnel not in known))
        refused = self._asks[address].refused
        fresh = [m for m in ranked if m.tunnel not in refused]
        if not fresh:
            refused.clear()
            fresh = ranked
        chosen = self._spread(fresh)
        chosen += [m.tunnel for m in ranked if m.tunnel not in chosen]
        return chosen[:PEERS_ASKED]

    def _spread(self, ranked: Sequence[members.Member]) -> list[str]:
        """Return the tunnels of peers, one of the own and one of another domain among the first."""
        own = self._membership.own
        chosen = list(ranked[:1])
        for local in (True, False):
            rest = [m for m in ranked if m not in chosen]
            chosen += [m for m in rest if (m.failure_domain == own.failure_domain) is local][:1]
        chosen += [m for m in ranked if m not in chosen]
        return [m.tunnel for m in chosen]

    def _start_check(self, address: str, detour: detours.Detour) -> None:
        task = asyncio.ensure_future(self._check(address, detour))
        self._checks.add(task)
        task.add_done_callback(self._checks.discard)

    async def _check(self, address: str, detour: detours.Detour) -> None:
        """Return to the direct path if it works again, or to another peer if the present one left.

        Everything that the replica answers shows that the path works.
        """
        try:
            await self._engines.report(address, detour.incarnation, '', True)
        except exchanges.ExchangeError as error:
            if error.fault is not exchanges.Fault.REPLACED:
                await self._replace_proxy(address, detour)
                return
        self._return(address)

    async def _replace_proxy(self, address: str, detour: detours.Detour) -> None:
        serving = self._membership.list_serving(clocks.now())
        if detour.proxy in {m.tunnel for m in serving}:
            return
        try:
            await self.report(address, detour.incarnation)
        except exchanges.ExchangeError as error:
            fields = {'address': address, 'proxy': detour.proxy, 'error': str(error)}
            log.info('no peer reaches an upstream', extra=fields)


def _is_refused(call: asyncio.Future[dialect.Report]) -> bool:
    """Return whether a peer couldn't connect to a replica, rather than not in time."""
    if not call.done() or call.cancelled():
        return False
    error = call.exception()
    return isinstance(error, exchanges.ExchangeError) and error.fault is exchanges.Fault.CONNECT


def _has_answered(call: asyncio.Future[dialect.Report]) -> bool:
    """Return whether a replica has answered a call, if only that another one has its address."""
    if not call.done() or call.cancelled():
        return False
    error = call.exception()
    if isinstance(error, exchanges.ExchangeError):
        return error.fault is exchanges.Fault.REPLACED
    return error is None
