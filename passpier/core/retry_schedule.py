"""Schedules the retries of refused clients of an account one after the other.

An account far above its rate has many refused requests at any time. If each was given the time at
which there are units for itself alone, all would retry at the same moment and all but one would be
refused again. So each is given the time at which there are units for it after all retries that were
scheduled before.
"""

from __future__ import annotations

MAX_WAIT_SHARE = 0.75
"""Maximum scheduled wait as a share of the client's remaining timeout. A later retry could not
complete in time, and an earlier one may find units that are available."""


class RetrySchedule:
    """Scheduled retries of refused clients by account, or by another key.

    `max_wait_share` is the maximum scheduled wait as a share of the client's remaining timeout.
    """

    def __init__(self, max_wait_share: float = MAX_WAIT_SHARE) -> None:
        self._max_wait_share = max_wait_share
        self._reserved_until: dict[str, float] = {}

    def schedule(
        self,
        account: str,
        cost: int,
        per_second: float,
        available_in: float,
        client_timeout: float,
        now: float,
    ) -> float:
        """Return the seconds after which a refused client should retry.

        `available_in` is the seconds until its `cost` units are available if no other client takes
        them, `per_second` the units earned for clients refused here, and `client_timeout` the
        seconds for which the client keeps waiting.
        """
        if available_in >= client_timeout:
            return available_in
        slot_start = max(now, self._reserved_until.get(account, now))
        slot_wait = slot_start - now + cost / per_second if per_second else client_timeout
        max_wait = client_timeout * self._max_wait_share
        if slot_wait > max_wait:
            # It retries as late as possible without reserving any units.
            return max(available_in, max_wait)
        wait = max(available_in, slot_wait)
        self._reserved_until[account] = now + wait
        return wait

    def forget(self, now: float) -> None:
        """Remove accounts without pending retries."""
        self._reserved_until = {a: at for a, at in self._reserved_until.items() if at > now}
