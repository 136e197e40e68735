"""The clients of a soak: how they choose routers, what they send, and what they received."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Coroutine, Sequence
from typing import Any

from passpier import clocks
from passpier.clients import exchanges
from passpier.platform import names
from passpier.standins.platform import deployment, invariants, replica, routers

RESOLVE_TTL = 1.0
"""Seconds for which clients cache an answer of the directory."""

LONG_RESOLVE_TTL = 5.0
"""The same for clients with long requests: some cache it for longer than the directory allows."""

LONG_SHARE = 0.1
"""Rate of long requests as a share of that of short ones."""

LONG_SECONDS = 0.3
"""Minimum seconds that replicas work on a long request."""

WORK_SHARE = 0.7
"""Maximum work on a long request, as a share of the client's timeout."""

SHORT_KINDS = ('stream', 'resume', 'safe', 'once')
"""Kinds of short requests."""

SHORT_PATIENCE = 1.5
LONG_PATIENCE = {'slow': 9.0, 'patient': 9.0, 'resume': 3.0}
"""Timeouts in seconds of clients with long requests, at most those of their routes."""

RESOLVE_TIMEOUT = 1.0


class Clients:
    """Sends random requests to routers and records their outcomes."""

    def __init__(
        self,
        running: deployment.Deployment,
        processes: list[routers.RouterProcess],
        seed: int,
        rng: random.Random,
    ) -> None:
        self.outcomes: list[invariants.RequestOutcome] = []
        self.short_kinds: Sequence[str] = SHORT_KINDS
        self.short_patience = SHORT_PATIENCE
        self.is_paused = False
        """Whether no new requests are sent."""

        self._running = running
        self._routers = processes
        self._rng = rng
        self._long_rng = random.Random(f'long {seed}')
        self._resolved: dict[str, tuple[float, list[str]]] = {}
        self._pending: set[asyncio.Task[None]] = set()

    async def run(self, ends_at: float, rate: float) -> None:
        """Send `rate` short requests a second, and long ones; return when all have ended."""
        await asyncio.gather(
            self._send_short(ends_at, rate), self._send_long(ends_at, rate * LONG_SHARE)
        )
        await asyncio.gather(*self._pending)

    async def _send_short(self, ends_at: float, rate: float) -> None:
        number = 0
        while clocks.now() < ends_at:
            if not self.is_paused:
                self._begin(self._ask_short(f'n{number}'))
                number += 1
            await asyncio.sleep(self._rng.expovariate(rate))

    async def _send_long(self, ends_at: float, rate: float) -> None:
        number = 0
        while clocks.now() < ends_at:
            if not self.is_paused:
                self._begin(self._ask_long(f'long{number}'))
                number += 1
            await asyncio.sleep(self._long_rng.expovariate(rate))

    def _begin(self, request: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(request)
        self._pending.add(task)
        task.add_done_callback(self._pending.discard)

    async def _ask_short(self, id: str) -> None:
        rng = self._rng
        kind = rng.choice(self.short_kinds)
        key = rng.choice(['secret-1', 'secret-2'])
        router = await self._choose_router(rng, f'short {rng.randrange(8)}', RESOLVE_TTL)
        headers = deployment.make_prompt(rng) if kind in invariants.STREAM_KINDS else []
        await self._ask(router, id, kind, key, self.short_patience, headers)

    async def _ask_long(self, id: str) -> None:
        rng = self._long_rng
        kind = rng.choice(list(LONG_PATIENCE))
        patience = LONG_PATIENCE[kind]
        router = await self._choose_router(rng, f'long {rng.randrange(8)}', LONG_RESOLVE_TTL)
        headers = deployment.make_prompt(rng) if kind in invariants.STREAM_KINDS else []
        seconds = rng.uniform(LONG_SECONDS, patience * WORK_SHARE)
        headers.append((replica.WORK_SECONDS, f'{seconds:.2f}'))
        await self._ask(router, id, kind, deployment.KEY, patience, headers)

    async def _ask(
        self,
        router: routers.RouterProcess,
        id: str,
        kind: str,
        key: str,
        patience: float,
        headers: list[tuple[str, str]],
    ) -> None:
        given = deployment.build_headers(id, int(patience * 1000), key)
        request = exchanges.Request('POST', f'/{kind}/x', [*given, *headers], b'question')
        began = clocks.now()
        observed = await self._running.observe_at(router.client_link.address, request, patience)
        seconds = clocks.now() - began
        echoed_id = ''
        if observed.status:
            assert observed.head is not None
            echoed_id = observed.head.get(names.REQUEST_ID) or 'nobody'
        self.outcomes.append(
            invariants.RequestOutcome(
                id,
                kind,
                key,
                began,
                observed.status,
                observed.body,
                seconds,
                echoed_id,
                router.name,
                patience,
                observed.head is not None,
                observed.local_port,
            )
        )

    async def _choose_router(
        self, rng: random.Random, client: str, kept: float
    ) -> routers.RouterProcess:
        """Choose a router for a client that caches the directory's answer for `kept` seconds."""
        kept_until, addresses = self._resolved.get(client, (0.0, []))
        if clocks.now() >= kept_until:
            addresses = await self._resolve(rng) or addresses
            self._resolved[client] = (clocks.now() + kept, addresses)
        named = [r for r in self._routers if r.caller in addresses]
        return rng.choice(named or self._routers)

    async def _resolve(self, rng: random.Random) -> list[str]:
        for router in rng.sample(self._routers, min(3, len(self._routers))):
            target = f'/resolve?name={deployment.HOST}&region=here&zone=zone-0'
            request = exchanges.Request('GET', target, [('Host', router.directory)])
            try:
                answer = await self._running.pool.fetch(router.directory, request, RESOLVE_TIMEOUT)
            except exchanges.ExchangeError:
                # Try the next router; the client keeps its old addresses if none answers.
                continue
            if answer.head.status == 200:
                addresses: list[str] = json.loads(answer.body)['addresses']
                return addresses
        return []
