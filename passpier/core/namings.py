"""The named versions of a model's weights, and since when each older version is outdated.

A version is outdated from the first naming of any newer one, however many follow: each naming keeps
its own time. What processes know is merged to the earliest time that any of them knew.
"""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Iterable, Sequence

OLD_WEIGHTS_MARGIN = 1.5
"""Seconds before the bound at which a replica with old weights gets no more requests: a naming is
known everywhere within a second, and a request may wait at its replica for half a second."""

FOUND_GRACE = 2.0
"""Seconds after its start for which a process uses weights that were outdated at an unknown time.
Its peers tell the time in half a second if they know it; without this nobody would be served when
all processes have started again, and a process is not yet held to the bound so early."""

NEGLIGIBLE = 0.05
"""Seconds by which times of two processes differ for the message's way alone."""


@dataclasses.dataclass(frozen=True, slots=True)
class Naming:
    """A named version; times are of the monotonic clock, in seconds."""

    version: int
    known_at: float
    """When the first process that told of it learnt that this or a newer version was named."""


class Namings:
    """The namings of one model."""

    def __init__(self, found: int = 0, found_at: float = float('-inf')) -> None:
        self.found = found
        """The version that was named already when it was first looked for; older ones than this are
        outdated, but nobody here knows since when. 0 if all namings were seen."""

        self._found_at = found_at
        self._seen: list[Naming] = []
        """What was named since, both versions and times ascending."""

    @property
    def newest(self) -> int:
        """The newest named version, or 0."""
        return self._seen[-1].version if self._seen else self.found

    @property
    def seen(self) -> tuple[Naming, ...]:
        """The namings whose times are known and matter."""
        return tuple(self._seen)

    def note(self, version: int, known_at: float) -> bool:
        """Note that a version was named; return whether it is newer than all known ones."""
        if version <= self.newest:
            return False
        self._seen.append(Naming(version, known_at))
        return True

    def merge(self, found: int, seen: Sequence[Naming]) -> bool:
        """Take over what another process knows; return whether anything was learnt.

        Somebody whose newest version is another one is behind or ahead, and is not listened to.
        """
        told = Namings(found)
        told._seen = list(seen)
        if told.newest != self.newest:
            return False
        merged = self._join(told)
        if found >= self.found and not self._is_earlier(merged):
            return False
        self.found = min(found, self.found)
        self._seen = merged
        return True

    def _join(self, other: Namings) -> list[Naming]:
        """Return the earliest times that either knows."""
        versions = {n.version for n in (*self._seen, *other._seen)}
        steps = sorted(versions | {self.found, other.found})
        joined: list[Naming] = []
        # All versions from one step on, but before the next, have been outdated for equally long,
        # and for longer than those behind them.
        for newer, older in itertools.pairwise(reversed(steps)):
            told = (self.get_outdated_at(older), other.get_outdated_at(older))
            times = [t for t in told if t is not None]
            if joined:
                times.append(joined[-1].known_at)
            if not joined or min(times) < joined[-1].known_at:
                joined.append(Naming(newer, min(times)))
        return joined[::-1]

    def _is_earlier(self, merged: Iterable[Naming]) -> bool:
        """Return whether some version was outdated earlier than is known here."""
        for naming in merged:
            known_at = self.get_outdated_at(naming.version - 1)
            if known_at is not None and naming.known_at < known_at - NEGLIGIBLE:
                return True
        return False

    def get_outdated_at(self, version: int) -> float | None:
        """Return since when a version is outdated; none if it is not, or if that is unknown."""
        if version < self.found:
            return None
        return next((n.known_at for n in self._seen if n.version > version), None)

    def is_outdated(self, version: int, now: float, grace: float = 0.0) -> bool:
        """Return whether a version has been outdated for `grace` seconds."""
        if version >= self.newest:
            return False
        outdated_at = self.get_outdated_at(version)
        return outdated_at is None or now >= outdated_at + grace

    def may_use(self, version: int, bound: float, now: float) -> bool:
        """Return whether a request may begin on a version; `bound` is in seconds."""
        if version >= self.newest:
            return True
        outdated_at = self.get_outdated_at(version)
        if outdated_at is None:
            return now < self._found_at + FOUND_GRACE
        return now < outdated_at + bound - OLD_WEIGHTS_MARGIN

    def forget(self, before: float) -> None:
        """Drop namings that a newer one, known before that time, makes needless."""
        needless = sum(n.known_at < before for n in self._seen) - 1
        if needless > 0:
            del self._seen[:needless]
