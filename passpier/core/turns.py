"""When refused clients of an account may come back: one after the other, not all at once.

An account far above its rate has many refused requests at any time. Were each told when there will
be room for it alone, all would come back at the same moment, and all but one be refused again. Each
is told the time at which there will be room behind those that were told to come before it.
"""

from __future__ import annotations

SHARE_OF_PATIENCE = 0.75
"""Part of the time that a client still gives its request after which it is told to come back at the
latest: later it would get no answer in time, and an earlier try may meet room."""


class Turns:
    """The times that refused clients were told, by account."""

    def __init__(self) -> None:
        self._taken_until: dict[str, float] = {}

    def take(
        self, account: str, cost: int, per_second: float, room: float, patience: float, now: float
    ) -> float:
        """Return the seconds after which a refused client should come back.

        `room` is after how many seconds there is room for its `cost` units alone, `per_second` what
        comes in for clients refused here, `patience` the seconds that the client still waits.
        """
        if room >= patience:
            return room
        begins = max(now, self._taken_until.get(account, now))
        turn = begins - now + cost / per_second if per_second else patience
        latest = patience * SHARE_OF_PATIENCE
        if turn > latest:
            # It comes when it can and takes nobody's turn.
            return max(room, latest)
        wait = max(room, turn)
        self._taken_until[account] = now + wait
        return wait

    def forget(self, now: float) -> None:
        """Drop turns that are over."""
        self._taken_until = {a: at for a, at in self._taken_until.items() if at > now}
