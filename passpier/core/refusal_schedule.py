"""Schedules the returns of requests refused under scarcity, and recognises them.

Clients refused together that return together meet the same queue. So each is told to return after
the expected wait and after all that were told so before, at the rate at which the pool has room
for them. Clients wait for at most a third of their remaining time.
"""

from __future__ import annotations

import collections

from passpier.core import retry_schedule

MAX_WAIT_SHARE = 0.32
"""The longest `Retry-After` as a share of the client's remaining time. Clients honour a third of
what remains when the response arrives, which is less than when it was sent."""

REMEMBERED_SECONDS = 10.0
"""Seconds for which a refused request is remembered; the longest permitted wait is about 5 s."""

MAX_REMEMBERED = 4096
"""Maximum number of refused requests that are remembered."""


class RefusalSchedule:
    """The returns that one VM has scheduled, and the requests it has refused lately."""

    def __init__(self) -> None:
        self._returns = retry_schedule.RetrySchedule(MAX_WAIT_SHARE)
        self._refused_at: collections.OrderedDict[int, float] = collections.OrderedDict()

    def schedule(
        self,
        key: str,
        tokens: int,
        per_second: float,
        expected_wait: float,
        remaining: float,
        now: float,
    ) -> float:
        """Return the seconds after which a refused client should return.

        `key` names the requests that are served one after the other, `per_second` the tokens
        served for those that return to this VM, `remaining` the client's remaining time.
        """
        longest = max(0.0, remaining) * MAX_WAIT_SHARE
        if expected_wait >= longest:
            return longest
        return self._returns.schedule(key, tokens, per_second, expected_wait, remaining, now)

    def remember(self, fingerprint: int, now: float) -> None:
        """Record that a request was refused."""
        self._returns.forget(now)
        self._refused_at[fingerprint] = now
        self._refused_at.move_to_end(fingerprint)
        if len(self._refused_at) > MAX_REMEMBERED:
            self._refused_at.popitem(last=False)

    def recognise(self, fingerprint: int, now: float) -> bool:
        """Return whether a request has returned after a refusal; each refusal counts once."""
        refused_at = self._refused_at.pop(fingerprint, float('-inf'))
        return now - refused_at < REMEMBERED_SECONDS
