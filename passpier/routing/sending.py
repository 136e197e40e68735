"""Connects to replicas and sends them requests, by another path if the direct one is lost."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Sequence

from passpier.clients import connections, exchanges
from passpier.core import replicas
from passpier.routing import paths, probing, response_reader

CONNECT_SLOW = 0.15
"""Seconds after which a connection that isn't established makes its path suspect."""

PATH_SECONDS = 0.25
"""Seconds for finding another path once a connection has failed."""


RESPONSE_SECONDS = 0.3
"""Seconds that a replica has to respond before it is sent a request that another one could take:
enough for a response through a peer, if the direct path is lost."""


class Sender:
    """Sends requests to replicas."""

    def __init__(
        self, pool: connections.Pool, replica_paths: paths.Paths, prober: probing.Prober
    ) -> None:
        self._pool = pool
        self._paths = replica_paths
        self._prober = prober

    async def send(
        self,
        replica: replicas.Replica,
        request: exchanges.Request,
        seconds: float,
        avoided: Sequence[exchanges.Connection],
        has_others: bool,
        quiet_seconds: float = probing.CONTACT_SECONDS,
    ) -> exchanges.Exchange:
        """Send a request within `seconds`, on none of the connections to be `avoided`.

        A replica that has not responded in the last `quiet_seconds` has to respond before it is
        sent anything, and soon if `has_others`: another one can take the request. Raises
        `ExchangeError`, `UnresponsiveError` or `TimeoutError`.
        """
        async with asyncio.timeout(seconds):
            wait = RESPONSE_SECONDS if has_others else math.inf
            if not await self._prober.is_responsive(replica.process, wait, quiet_seconds):
                raise response_reader.UnresponsiveError(replica.name)
            return await self._connect(replica, request, avoided)

    async def _connect(
        self,
        replica: replicas.Replica,
        request: exchanges.Request,
        avoided: Sequence[exchanges.Connection],
    ) -> exchanges.Exchange:
        """Send a request; the path to its replica is suspect if connecting takes long."""
        loop = asyncio.get_running_loop()
        slow = loop.call_later(CONNECT_SLOW, self._check_path, replica)
        try:
            return await self._open(replica, request, avoided)
        finally:
            slow.cancel()

    async def _open(
        self,
        replica: replicas.Replica,
        request: exchanges.Request,
        avoided: Sequence[exchanges.Connection],
    ) -> exchanges.Exchange:
        """Send a request by the path to its replica, or by another one if that one is lost."""
        path = self._paths.choose(replica.address)
        try:
            return await self._pool.open(replica.address, request, path, avoided=avoided)
        except exchanges.ExchangeError as error:
            if error.fault is exchanges.Fault.WITHHELD:
                raise
            self._check_path(replica)
            await self._prober.wait_decided(replica.process, PATH_SECONDS)
            if self._paths.choose(replica.address) == path:
                raise
        return await self._pool.open(replica.address, request, avoided=avoided)

    def _check_path(self, replica: replicas.Replica) -> None:
        """Find out whether a replica can be connected to, by any path."""
        self._paths.note_connect_failure(replica.address)
        self._prober.probe(replica.process, 0.0)
