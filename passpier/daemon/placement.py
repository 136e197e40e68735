"""Orders engines to load the configured weights; only one daemon at a time does so."""

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
"""Seconds between checks of the weights that upstreams serve."""


class ModelPlacement:
    """Issues weight-loading orders while this daemon holds the placement lease."""

    def __init__(
        self,
        local_fleet: fleet.Fleet,
        known_upstreams: upstreams.Upstreams,
        engine_client: engines.Engines,
    ) -> None:
        self._fleet = local_fleet
        self._upstreams = known_upstreams
        self._engines = engine_client
        self._order_book: orders.OrderBook | None = None

    async def run(self) -> None:
        """Check and issue orders until cancelled."""
        await self._fleet.storage.repeat(INTERVAL, self._check)

    async def _check(self) -> None:
        config = self._fleet.config
        draining = self._fleet.drain.began_at is not None
        if config is None or draining or not self._fleet.storage.lease:
            return
        if not self._has_work(config) and self._order_book is None:
            return
        fence = await self._fleet.storage.acquire_placement(self._fleet.membership.own.incarnation)
        if not fence:
            self._order_book = None
            return
        now = clocks.now()
        if self._order_book is None or self._order_book.fence != fence:
            self._order_book = orders.OrderBook(fence, now)
        self._order_book.expire(now)
        self._issue_orders(config, self._order_book, now)

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

    def _issue_orders(
        self, config: directory.Directory, book: orders.OrderBook, now: float
    ) -> None:
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
            response = await self._engines.order(replica.address, body, orders.LONGEST_ORDER)
        except web.ExchangeError as error:
            # The engine may still execute the order, so it stays open until it must have ended.
            log.warning(
                'order not answered', extra={'upstream': wanted.upstream, 'error': str(error)}
            )
            return
        book.finish(wanted.upstream)
        log.info('order answered', extra={'upstream': wanted.upstream, 'status': response.status})


def list_wanted(config: directory.Directory) -> list[orders.Wanted]:
    """Return the model and weights that a configuration assigns to each engine."""
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
