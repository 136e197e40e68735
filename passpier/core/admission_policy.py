"""Decides which requests wait under scarcity, and for which priorities a replica has room."""

from __future__ import annotations

from passpier.core import replicas

RESERVED_SHARE = 3
"""One in this many places in a replica's queue is reserved for the most urgent priority, so that an
urgent request isn't kept at the VM by less urgent ones that have filled the queue."""

PRIORITY_SECONDS = 30.0
"""Seconds after the last request of a priority in which the service is expected to have more. A VM
gets about one request of each kind per second in both deployments of the page on hard load."""


def is_open(replica: replicas.Replica, now: float, priority: int, most_urgent: int = 0) -> bool:
    """Return whether a replica accepts another request of a priority, even if it is queued there.

    `most_urgent` is the most urgent priority of the service.
    """
    if not replicas.is_open(replica, now):
        return False
    if priority <= most_urgent or replica.refusals is not None:
        return True
    places = replicas.count_queue_places(replica)
    unreserved = places - places // RESERVED_SHARE
    return replicas.estimate_running(replica, now) < replica.slots + unreserved


def has_room(replica: replicas.Replica, now: float, priority: int, most_urgent: int = 0) -> bool:
    """Return whether a replica has room for a request of a priority.

    Replicas serve more urgent requests first, so less urgent work in their queue doesn't count.
    """
    if priority > most_urgent and not is_open(replica, now, priority, most_urgent):
        return False
    return replicas.has_room(replica, now, priority)


class Admission:
    """The admission policy of one VM, for all its services."""

    def __init__(self) -> None:
        self._arrived_at: dict[str, dict[int, float]] = {}
        """When the last request of each priority arrived, by service."""

    def note_arrival(self, service: str, priority: int, now: float) -> None:
        """Record that the service has requests of this priority."""
        self._arrived_at.setdefault(service, {})[priority] = now

    def list_priorities(self, service: str, now: float) -> list[int]:
        """Return the priorities that the service's requests had lately, the most urgent first."""
        arrived = self._arrived_at.get(service, {})
        return sorted(p for p, at in arrived.items() if now - at < PRIORITY_SECONDS)

    def get_most_urgent(self, service: str, now: float) -> int:
        """Return the most urgent priority of the service's requests lately."""
        return min(self.list_priorities(service, now), default=0)
