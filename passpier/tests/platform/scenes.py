"""What the tests of requests through a router share."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from passpier.platform import names
from passpier.standins.platform import deployment

Check = Callable[[deployment.Deployment], Awaitable[None]]
Condition = Callable[[], bool]

PROMPT = [
    (names.MODEL, deployment.MODEL),
    (names.TOKENS, '1460,80'),
    (names.PARTS, '5c1e07a2:800,91bd3f06:410,e4402b7d:250'),
]
BOUND = 30
"""Seconds after which a test has failed."""


def play(check: Check, routers: int = 1) -> None:
    """Run a check against a new deployment."""

    async def run() -> None:
        async with deployment.running(routers) as running:
            await check(running)

    asyncio.run(asyncio.wait_for(run(), BOUND))


async def wait_for(condition: Condition) -> None:
    """Wait until a condition holds; the test's own bound ends it."""
    while not condition():
        await asyncio.sleep(0.005)
