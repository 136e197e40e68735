"""Gives orders to engines, one daemon at a time, until they serve the weights that are wanted."""

from __future__ import annotations

import asyncio
import logging

from passpier import clocks
from passpier.clients import engines, web
from passpier.config import directory
from passpier.core import orders
from passpier.daemon import fleet, upstreams

log = logging.getLogger(__name__)

INTERVAL = 1.0
"""Seconds between looks at what upstreams serve."""


class Placement:
    """The orders of this daemon while it holds the placement lease."""

    def __init__(
        self, own: fleet.Fleet, known: upstreams.Upstreams, engine_client: engines.Engines
    ) -> None:
        self._fleet = own
        self._upstreams = known
        self._engines = engine_client
        self._book: orders.OrderBook | None = None

    async def run(self) -> None:
        """Look and order until cancelled."""
        await self._fleet.storage.repeat(INTERVAL, self._step)

    async def _step(self) -> None:
        config = self._fleet.config
        draining = self._fleet.drain.began_at is not None
        if config is None or draining or not self._fleet.storage.lease:
            return
        if not self._has_work(config) and self._book is None:
            return
        fence = await self._fleet.storage.take_placement(self._fleet.membership.own.incarnation)
        if not fence:
            self._book = None
            return
        now = clocks.now()
        if self._book is None or self._book.fence != fence:
            self._book = orders.OrderBook(fence, now)
        self._book.expire(now)
        self._order(config, self._book, now)

    def _has_work(self, config: directory.Directory) -> bool:
        observed = {o.upstream: o.weight_version for o in self._observe()}
        return any(
            observed.get(w.upstream, '') not in ('', w.weight_version) for w in list_wanted(config)
        )

    def _observe(self) -> list[orders.Observed]:
        return [
            orders.Observed(r.name, r.weight_version)
            for r in self._upstreams.replicas.values()
            if r.weight_version and not r.leaving
        ]

    def _order(self, config: directory.Directory, book: orders.OrderBook, now: float) -> None:
        observed = self._observe()
        for wanted in book.plan(list_wanted(config), observed, len(observed), now):
            log.info(
                'placement decision',
                extra={
                    'upstream': wanted.upstream,
                    'model': wanted.model,
                    'weight_version': wanted.weight_version,
                    'fence': book.fence,
                },
            )
            asyncio.ensure_future(self._send(book, wanted))

    async def _send(self, book: orders.OrderBook, wanted: orders.Wanted) -> None:
        replica = self._upstreams.replicas.get(wanted.upstream)
        if replica is None:
            book.finish(wanted.upstream)
            return
        body = {
            'model': wanted.model,
            'weight_version': wanted.weight_version,
            'adapters': list(wanted.adapters),
            'fence': book.fence,
        }
        try:
            answer = await self._engines.order(replica.address, body, orders.LONGEST_ORDER)
        except web.ExchangeError as error:
            # It may still be carried out: the order stays open until it has certainly ended.
            log.warning(
                'order not answered', extra={'upstream': wanted.upstream, 'error': str(error)}
            )
            return
        book.finish(wanted.upstream)
        log.info('order answered', extra={'upstream': wanted.upstream, 'status': answer.status})


def list_wanted(config: directory.Directory) -> list[orders.Wanted]:
    """Return the state that a configuration wants of each engine."""
    wanted = []
    for pool in config.fleet.pools:
        model = config.find_model_of_pool(pool.name)
        if model is None:
            continue
        for upstream in pool.upstreams:
            wanted.append(
                orders.Wanted(
                    upstream.name,
                    model.name,
                    model.weight_version,
                    model.adapters,
                    upstream.checks_fencing,
                )
            )
    return wanted
