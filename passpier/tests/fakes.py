"""Fakes of external interfaces, for tests in virtual time."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence

import msgspec

from passpier import exceptions
from passpier.clients import store


class FaultyStore(store.MemoryStore):
    """A store that can be down, is slow, and may lose responses of calls that took effect."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__()
        self.rng = rng
        self.down = False
        self.loss = 0.0
        self.writes = 0

    async def get(self, key: str) -> store.Value | None:
        """Return the value of a key, or raise `StoreError` if the call fails."""
        await self._simulate_delay_and_loss()
        return await super().get(key)

    async def read(self, prefix: str) -> list[store.Value]:
        """Return the values under a prefix, or raise `StoreError` if the call fails."""
        await self._simulate_delay_and_loss()
        return await super().read(prefix)

    async def write(
        self,
        operations: Sequence[store.Put | store.Delete],
        conditions: Sequence[store.ExpectedRevision] = (),
    ) -> bool:
        """Write; the request or the response may be lost, and a failed write may apply late."""
        await self._simulate_delay_and_loss()
        if self.rng.random() < self.loss / 2:
            delay = self.rng.uniform(0.01, 0.3)
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self._write_late, operations, conditions)
            raise exceptions.StoreError('no answer')
        self.writes += 1
        done = await super().write(operations, conditions)
        await self._simulate_delay_and_loss()
        return done

    def _write_late(
        self,
        operations: Sequence[store.Put | store.Delete],
        conditions: Sequence[store.ExpectedRevision],
    ) -> None:
        asyncio.ensure_future(super().write(operations, conditions))

    async def _simulate_delay_and_loss(self) -> None:
        await asyncio.sleep(self.rng.uniform(0.001, 0.01))
        if self.down or self.rng.random() < self.loss:
            raise exceptions.StoreError('no answer')


class PriorityDemand(msgspec.Struct, frozen=True):
    """The demand of one priority, with the fields that admission uses."""

    waiting: int = 0
    waiting_tokens: int = 0
    placed_rate: float = 0.0


class Picture(msgspec.Struct, frozen=True):
    """The demand of all VMs for a service."""

    priorities: tuple[PriorityDemand, ...]
    accounts: dict[str, int]
    vms: int = 9
    age: float = 0.2
