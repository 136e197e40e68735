"""The releases of a model's weights, and since when each older version may be outdated.

A version is outdated from the first release of any newer one. The time of a release is not
published: a process only knows until when it had not happened yet. Each such time is a valid lower
bound, so the latest of all times that processes exchange is the most precise one, and delayed
messages do no harm.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

import msgspec

OLD_WEIGHTS_MARGIN = 1.5
"""Seconds before the bound at which a replica with outdated weights gets no more requests: half a
second for connecting, the rest for requests that wait longer at the replica than predicted."""

LATE_DISCOVERY_GRACE = 2.0
"""Seconds for which a process that discovers a release late uses weights that may be outdated for
any time. Within half a second a peer sends a better time. Without this, no request would be served
after a restart of all processes."""

START_GRACE = 2.0
"""Seconds after the start of a process at which that ends at the latest. Platforms check a process
against their bounds from 3 s after its start, however long it took until its code ran."""


class Release(msgspec.Struct, frozen=True):
    """A released version; no version newer than its predecessor was released until `not_before`."""

    version: int
    not_before: float
    """Monotonic time in seconds, or minus infinity if it is unknown."""


class _Discovery(msgspec.Struct, frozen=True):
    version: int
    not_before: float
    at: float
    grace_ends_at: float


class ReleaseHistory:
    """The releases of one model, as known to a process that was started at some time."""

    def __init__(self, process_started_at: float = math.inf) -> None:
        self._process_started_at = process_started_at
        self._known: list[Release] = []
        """Ascending by version and time."""

        self._discoveries: list[_Discovery] = []
        """Releases that this process discovered itself, ascending."""

    @property
    def newest(self) -> int:
        """The newest released version, or 0."""
        return self._known[-1].version if self._known else 0

    @property
    def known(self) -> tuple[Release, ...]:
        """The relevant releases, ascending."""
        return tuple(self._known)

    def note(self, version: int, not_before: float, now: float) -> bool:
        """Record a released version; return whether it is newer than all known ones."""
        if version <= self.newest:
            return False
        if self._known:
            not_before = max(not_before, self._known[-1].not_before)
        self._known.append(Release(version, not_before))
        grace_ends_at = now + LATE_DISCOVERY_GRACE
        if math.isinf(not_before):
            # Only a process that has just started knows no time at all.
            grace_ends_at = min(grace_ends_at, self._process_started_at + START_GRACE)
        self._discoveries.append(_Discovery(version, not_before, now, grace_ends_at))
        return True

    def merge(self, received: Sequence[Release]) -> float:
        """Merge another process's releases; return the largest change of a time in seconds.

        Versions that this process has not discovered yet are ignored until it has.
        """
        combined = self._combine(received)
        gains = [self._compute_gain(release) for release in combined]
        self._known = combined
        return max(gains, default=0.0)

    def get_outdated(self, version: int) -> Release | None:
        """Return the release that made a version outdated, or `None` if it is current."""
        return _find_newer(self._known, version)

    def is_outdated(self, version: int, now: float, grace: float = 0.0) -> bool:
        """Return whether a version may have been outdated for at least `grace` seconds."""
        release = self.get_outdated(version)
        return release is not None and now >= release.not_before + grace

    def may_use(self, version: int, bound: float, now: float) -> bool:
        """Return whether a request may start on a version; `bound` is in seconds."""
        release = self.get_outdated(version)
        if release is None:
            return True
        discovery = next(x for x in self._discoveries if x.version > version)
        if now < release.not_before + bound - OLD_WEIGHTS_MARGIN:
            return True
        # The grace ends once peers have sent an earlier release or a more precise time.
        return release.not_before == discovery.not_before and now < discovery.grace_ends_at

    def is_awaiting_time(self, now: float) -> bool:
        """Return whether the time of a release that was just discovered is unknown."""
        recent = {x.version for x in self._discoveries if now < x.at + LATE_DISCOVERY_GRACE}
        return any(n.version in recent and math.isinf(n.not_before) for n in self._known)

    def forget(self, before: float) -> None:
        """Drop each release whose successor is from before that time, as it isn't needed then."""
        while len(self._known) > 1 and self._known[1].not_before < before:
            del self._known[0]
        while len(self._discoveries) > 1 and self._discoveries[1].at < before:
            del self._discoveries[0]

    def _combine(self, received: Sequence[Release]) -> list[Release]:
        """Return the latest known times of both sides, for versions discovered here."""
        versions = {n.version for n in (*self._known, *received) if n.version <= self.newest}
        combined: list[Release] = []
        for version in sorted(versions):
            older = version - 1
            found = (_find_newer(self._known, older), _find_newer(received, older), *combined[-1:])
            not_before = max(n.not_before for n in found if n is not None)
            if combined and combined[-1].not_before == not_before:
                combined.pop()
            combined.append(Release(version, not_before))
        return combined

    def _compute_gain(self, release: Release) -> float:
        before = self.get_outdated(release.version - 1)
        assert before is not None
        if before.not_before == release.not_before:
            # Both may be minus infinity, whose difference is not a number.
            return 0.0
        return release.not_before - before.not_before


def _find_newer(releases: Sequence[Release], version: int) -> Release | None:
    return next((n for n in releases if n.version > version), None)
