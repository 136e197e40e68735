"""Decides which requests wait under scarcity, and for which priorities a replica has room."""

from __future__ import annotations

import enum
from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

import msgspec

from passpier.core import admission, refusal_schedule, replicas

RESERVED_SHARE = 3
"""One in this many places in a replica's queue is reserved for the most urgent priority, so that an
urgent request isn't kept at the VM by less urgent ones that have filled the queue."""

PRIORITY_SECONDS = 30.0
"""Seconds after the last request of a priority in which the service is expected to have more. A VM
may get only one request of a kind per second."""

MAX_PICTURE_AGE = 1.5
"""Seconds after which the pool's demand is too old to decide from. Peers whose demand is steady
send it once per second, so a limit of 1 s would ignore it for part of the time."""

OVER_SHARE = 2.0
"""Multiple of its fair share of the waiting tokens above which an account is refused early."""

OVER_SHARE_WAIT = 0.5
"""Fraction of the permitted wait that is left to such an account, so that it is refused before
others of its priority."""

RETURN_SHARE = 0.5
"""Fraction of the pool's rate at which refused clients are told to return. New requests, some of
them more urgent, arrive meanwhile."""


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


class PriorityDemand(Protocol):
    """The demand of one priority that decisions use; see `pool_demand.PriorityDemand`."""

    @property
    def waiting(self) -> int:
        """Requests queued at the VMs."""

    @property
    def waiting_tokens(self) -> int:
        """Their tokens."""

    @property
    def placed_rate(self) -> float:
        """Tokens dequeued per second while the queues were not empty."""


class Picture(Protocol):
    """The demand for one service of all VMs; see `pool_demand.Picture`."""

    @property
    def priorities(self) -> Sequence[PriorityDemand]:
        """The demand by priority."""

    @property
    def accounts(self) -> Mapping[str, int]:
        """Waiting tokens by account."""

    @property
    def vms(self) -> int:
        """VMs included."""

    @property
    def age(self) -> float:
        """Age of the oldest data in seconds."""


class PictureProvider(Protocol):
    """Provides the demand of all VMs."""

    def get_picture(self, service: str, now: float) -> Picture | None:
        """Return the demand for a service, or `None` if it is unknown."""


class Demand(msgspec.Struct, frozen=True):
    """A request that found no room, and what its VM knows without the others."""

    service: str
    account: str
    weight: int
    priority: int
    tokens: int
    hold_until: float
    """When a request that isn't placed is refused."""

    first_event_due: float
    ends_at: float
    """When its client stops waiting."""

    prefill_seconds: float
    own_ahead: int
    """Tokens ahead of it in the queue of its VM."""

    own_rate: float
    """Tokens per second that leave that queue."""

    pool_rate: float
    """Tokens per second that the replicas can process together."""

    quantum: int = admission.QUANTUM
    returned: bool = False
    """Whether it was refused before."""


class Estimate(msgspec.Struct, frozen=True):
    """The expected wait of a request with its inputs; `age` is none for data of this VM alone."""

    wait: float
    tokens_ahead: int
    rate: float
    vms: int = 1
    age: float | None = None


class Action(enum.Enum):
    """What happens to a request that found no room."""

    WAIT = 'wait'
    REFUSE = 'refuse'


class Reason(enum.StrEnum):
    """Why a request is refused."""

    OBJECTIVE = 'objective'
    """The first event would be late."""

    ACCOUNT_SHARE = 'account_share'
    """The same, for the shorter wait of an account above its fair share."""

    DEADLINE = 'deadline'
    """It has returned after a refusal and can't be served before its client stops waiting."""

    HELD = 'held'
    """It was queued for as long as permitted."""


class Verdict(msgspec.Struct, frozen=True):
    """The decision on a request: it waits until `until`, or returns after `retry_after` seconds."""

    action: Action
    estimate: Estimate
    until: float = 0.0
    retry_after: float = 0.0
    reason: Reason | None = None


def is_current(picture: Picture | None) -> bool:
    """Return whether the demand of several VMs is known and recent."""
    return picture is not None and picture.vms > 1 and picture.age <= MAX_PICTURE_AGE


def estimate_wait(demand: Demand, picture: Picture | None) -> Estimate:
    """Return the expected wait of a new request, from all VMs' demand if that is known."""
    if picture is None or not is_current(picture):
        wait = admission.predict_wait(demand.own_ahead, demand.own_rate)
        return Estimate(wait, demand.own_ahead, demand.own_rate)
    ahead = _count_ahead(demand, picture)
    rate = sum(p.placed_rate for p in picture.priorities[: demand.priority + 1])
    rate = rate or demand.pool_rate
    wait = admission.predict_wait(ahead, rate)
    return Estimate(wait, ahead, rate, picture.vms, picture.age)


def _count_ahead(demand: Demand, picture: Picture) -> int:
    """Return the waiting tokens that are served first; see `admission.FairQueue.count_ahead`."""
    # Requests without a prompt have no tokens of their own, but each takes a slot.
    waiting = [max(p.waiting_tokens, p.waiting) for p in picture.priorities]
    ahead = sum(waiting[: demand.priority + 1])
    if not ahead:
        return 0
    # The accounts' tokens aren't known by priority.
    share = ahead / sum(waiting)
    own = picture.accounts.get(demand.account, 0) * share
    others = [tokens * share for a, tokens in picture.accounts.items() if a != demand.account]
    limit = (own + demand.tokens) / demand.weight + demand.quantum
    unlisted = max(0.0, ahead - own - sum(others))
    return int(min(ahead, own + unlisted + sum(min(limit, tokens) for tokens in others)))


def is_over_share(demand: Demand, picture: Picture | None, weights: Mapping[str, int]) -> bool:
    """Return whether the waiting tokens of an account are far above its fair share.

    Without configured limits, large accounts can't be told from those that exceed their share.
    """
    if picture is None or not is_current(picture) or not weights:
        return False
    waiting = [a for a, tokens in picture.accounts.items() if tokens and a != demand.account]
    others = sum(weights.get(a, 1) for a in waiting)
    own = picture.accounts.get(demand.account, 0)
    # A single long prompt that waits isn't an excess.
    if not others or own <= demand.tokens:
        return False
    fair = sum(picture.accounts.values()) * demand.weight / (demand.weight + others)
    return own > OVER_SHARE * fair


class Admission:
    """The admission policy of one VM, for all its services."""

    def __init__(self, pictures: PictureProvider | None = None) -> None:
        self.pictures = pictures
        self.get_weights: Callable[[], Mapping[str, int]] = dict
        """Returns the weights of accounts in fair shares, if any are configured."""

        self.schedule = refusal_schedule.RefusalSchedule()
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

    def get_picture(self, service: str, now: float) -> Picture | None:
        """Return the demand of all VMs for a service, if there is any data."""
        return self.pictures.get_picture(service, now) if self.pictures is not None else None

    def applies(self, service: str, account: str, now: float) -> bool:
        """Return whether requests that found no room are assessed: they differ in urgency or owner.

        An empty account means that there are none.
        """
        return bool(account) or len(self.list_priorities(service, now)) > 1

    def assess(self, demand: Demand, picture: Picture | None, now: float) -> Verdict:
        """Return whether a request that found no room waits, or when it should return."""
        estimate = estimate_wait(demand, picture)
        if demand.returned:
            served_at = now + estimate.wait + demand.prefill_seconds
            if served_at >= demand.ends_at:
                longest = max(0.0, demand.ends_at - now) * refusal_schedule.MAX_WAIT_SHARE
                return Verdict(Action.REFUSE, estimate, retry_after=longest, reason=Reason.DEADLINE)
            remaining = demand.ends_at - now
            until = max(demand.hold_until, now + remaining * refusal_schedule.MAX_WAIT_SHARE)
            return Verdict(Action.WAIT, estimate, until)
        over_share = is_over_share(demand, picture, self.get_weights())
        # Without anything ahead of it, an estimate of the prefill alone refuses no request.
        if estimate.tokens_ahead:
            latest = min(demand.hold_until, demand.first_event_due - demand.prefill_seconds)
            permitted = (latest - now) * (OVER_SHARE_WAIT if over_share else 1.0)
            if estimate.wait > permitted:
                reason = Reason.ACCOUNT_SHARE if over_share else Reason.OBJECTIVE
                return self._refuse(demand, picture, estimate, reason, now)
        return Verdict(Action.WAIT, estimate, demand.hold_until)

    def refuse_held(
        self, demand: Demand, picture: Picture | None, held: float, now: float
    ) -> Verdict:
        """Return the refusal of a request that was queued for `held` seconds, as permitted."""
        estimate = estimate_wait(demand, picture)
        # The wait was longer than expected, so that a return after the expected wait is too early.
        estimate = msgspec.structs.replace(estimate, wait=max(held, estimate.wait))
        return self._refuse(demand, picture, estimate, Reason.HELD, now)

    def _refuse(
        self,
        demand: Demand,
        picture: Picture | None,
        estimate: Estimate,
        reason: Reason,
        now: float,
    ) -> Verdict:
        key = f'{demand.service}/{demand.priority}'
        # All VMs refuse about as many, each tells its own when to return.
        rate = estimate.rate * RETURN_SHARE / estimate.vms
        if picture is not None and is_over_share(demand, picture, self.get_weights()):
            key += f'/{demand.account}'
            rate /= len(picture.accounts)
        remaining = demand.ends_at - now
        retry_after = self.schedule.schedule(
            key, demand.tokens, rate, estimate.wait, remaining, now
        )
        return Verdict(Action.REFUSE, estimate, retry_after=retry_after, reason=reason)
