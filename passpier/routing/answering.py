"""The client's side of a request, as the forwarder sees it."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence
from typing import Protocol


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """An answer of our own; `retry_after` is in seconds."""

    status: int
    reason: str
    """A stable word for logs and metrics."""

    message: str
    retry_after: float | None = None


class Client(Protocol):
    """Takes the answer of one request."""

    @property
    def started(self) -> bool:
        """Whether the head of an answer is out."""

    async def begin(
        self, status: int, reason: str, headers: Sequence[tuple[str, str]], length: int | None
    ) -> None:
        """Send the head; without a length the body comes in chunks."""

    async def write(self, data: bytes) -> None:
        """Send a part of the body; waits while the client does not read."""

    async def finish(self) -> None:
        """End the answer as complete."""

    def abort(self) -> None:
        """End the connection, so that the answer cannot look complete."""
