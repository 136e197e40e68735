"""Backpressure signals in the responses of replicas."""

from __future__ import annotations

import msgspec


class Signal(msgspec.Struct, frozen=True):
    """The signals of one response; they apply to the replica process that sent it."""

    limit: float | None = None
    """Requests per second that the replica accepts from all daemons together, if it is limited."""

    leaving: bool = False
    """Whether the replica is shutting down and accepts no new requests."""

    backoff: float | None = None
    """Seconds for which the refused daemon must not send further requests."""

    refusal_limit: float | None = None
    """Requests per second that the replica can refuse for want of room, from all daemons together,
    before it crashes; none if it isn't brittle."""


NO_SIGNAL = Signal()
