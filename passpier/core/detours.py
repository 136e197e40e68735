"""Which addresses are reached through peers, because the direct path to them is lost."""

from __future__ import annotations

import msgspec

CHECK_INTERVAL = 1.0
"""Seconds between checks whether the direct path works again."""

CHECK_INTERVAL_MAX = 8.0
"""Upper bound of the same, which doubles each time that the path is soon lost again."""

FLAP_SECONDS = 10.0
"""Seconds after its return in which a path is soon lost again."""


class Detour(msgspec.Struct):
    """The peer through which an address is reached."""

    proxy: str
    incarnation: str
    """The replica process that has the address."""

    interval: float
    check_at: float
    """When to check the direct path next."""


class _Return(msgspec.Struct, frozen=True):
    """The end of a detour, and the interval between its checks."""

    at: float
    interval: float


class Detours:
    """The present detours by address."""

    def __init__(self) -> None:
        self._detours: dict[str, Detour] = {}
        self._returns: dict[str, _Return] = {}

    def __len__(self) -> int:
        return len(self._detours)

    def get_proxy(self, address: str) -> str:
        """Return the peer through which an address is reached; empty if directly."""
        detour = self._detours.get(address)
        return detour.proxy if detour else ''

    def list_proxies(self) -> set[str]:
        """Return all peers through which addresses are reached."""
        return {d.proxy for d in self._detours.values()}

    def begin(self, address: str, proxy: str, incarnation: str, now: float) -> bool:
        """Reach an address through a peer; return false if it already is."""
        before = self._detours.get(address)
        if before is not None and before.proxy == proxy:
            return False
        interval = before.interval if before else self._choose_interval(address, now)
        self._detours[address] = Detour(proxy, incarnation, interval, now + interval)
        return True

    def end(self, address: str, now: float) -> bool:
        """Reach an address directly; return false if it already is."""
        detour = self._detours.pop(address, None)
        if detour is not None:
            self._returns[address] = _Return(now, detour.interval)
        return detour is not None

    def forget(self, address: str) -> None:
        """Drop everything about an address that is not in use any more."""
        self._detours.pop(address, None)
        self._returns.pop(address, None)

    def take_due(self, now: float, limit: int) -> list[tuple[str, Detour]]:
        """Return up to `limit` detours whose direct path has to be checked now, with addresses."""
        due = [(a, d) for a, d in self._detours.items() if d.check_at <= now]
        due.sort(key=lambda entry: entry[1].check_at)
        for _, detour in due[:limit]:
            detour.check_at = now + detour.interval
        return due[:limit]

    def check_all(self, now: float) -> None:
        """Have all direct paths checked, because one of them works again."""
        for detour in self._detours.values():
            detour.check_at = min(detour.check_at, now)

    def _choose_interval(self, address: str, now: float) -> float:
        last = self._returns.get(address)
        if last is None or now - last.at > FLAP_SECONDS:
            return CHECK_INTERVAL
        return min(last.interval * 2, CHECK_INTERVAL_MAX)
