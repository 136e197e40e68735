"""Fair queues of requests that wait for a replica, with priorities and deadlines."""

from __future__ import annotations

import collections
from collections.abc import Callable, Collection, Iterator
from typing import Generic, TypeVar

import msgspec

QUANTUM = 2048
"""Tokens that an account of weight 1 may spend per round."""

STARVATION_INTERVAL = 10
"""Every so many tickets taken from an account, its least urgent one goes first."""

MAX_WAITING = 2000
"""Requests that may wait in one queue."""

T = TypeVar('T')


class Ticket(msgspec.Struct, Generic[T]):
    """A waiting request; `tokens` is its estimated work."""

    item: T
    account: str
    weight: int
    priority: int
    tokens: int
    deadline: float
    """Time at which the first token is due."""

    returned: bool = False
    """Whether the request was refused before; it precedes others of its account and priority."""

    overtaken: bool = False
    """Whether it was taken because more urgent tickets had overtaken it; see `FairQueue.take`."""


class _AccountQueue(Generic[T]):
    """One account's tickets by priority, with its deficit counter."""

    def __init__(self, weight: int) -> None:
        self.weight = weight
        self.deficit = 0
        self.taken = 0
        self.classes: dict[int, collections.deque[Ticket[T]]] = {}

    def __iter__(self) -> Iterator[Ticket[T]]:
        for tickets in self.classes.values():
            yield from tickets

    def put(self, ticket: Ticket[T], first: bool) -> None:
        tickets = self.classes.setdefault(ticket.priority, collections.deque())
        if first:
            tickets.appendleft(ticket)
            return
        if not ticket.returned:
            tickets.append(ticket)
            return
        place = next((n for n, t in enumerate(tickets) if not t.returned), len(tickets))
        tickets.insert(place, ticket)

    def has_other_than(self, blocked: Collection[int]) -> bool:
        return any(priority not in blocked for priority in self.classes)

    def get_next(self, blocked: Collection[int] | None) -> Ticket[T]:
        if blocked is not None:
            return self.classes[min(p for p in self.classes if p not in blocked)][0]
        starving = (self.taken + 1) % STARVATION_INTERVAL == 0
        return self.classes[max(self.classes) if starving else min(self.classes)][0]

    def pop(self, ticket: Ticket[T]) -> None:
        self.taken += 1
        self.deficit -= ticket.tokens
        self.classes[ticket.priority].remove(ticket)
        self._drop_empty(ticket.priority)

    def remove(self, matches: Callable[[Ticket[T]], bool]) -> list[Ticket[T]]:
        removed = [t for t in self if matches(t)]
        for priority in list(self.classes) if removed else ():
            kept = collections.deque(t for t in self.classes[priority] if not matches(t))
            self.classes[priority] = kept
            self._drop_empty(priority)
        return removed

    def _drop_empty(self, priority: int) -> None:
        if not self.classes[priority]:
            del self.classes[priority]


class FairQueue(Generic[T]):
    """Deficit round robin between accounts; the most urgent eligible account goes first.

    Priorities order the work of one account, and the accounts within a round. They don't raise an
    account above its share, so a flood of urgent requests does not delay other accounts for long.
    """

    def __init__(self) -> None:
        self.quantum = QUANTUM
        self._queues: dict[str, _AccountQueue[T]] = {}
        self._size = 0
        self._overtakings = 0
        """Requests placed since the last overtaken one while less urgent ones waited."""

        self._overtaker = 0
        """The most urgent priority of these requests."""

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> Iterator[Ticket[T]]:
        for queue in self._queues.values():
            yield from queue

    def put(self, ticket: Ticket[T], first: bool = False) -> None:
        """Append a ticket to its account's queue of that priority, or put it first there."""
        if ticket.account not in self._queues:
            self._queues[ticket.account] = _AccountQueue(ticket.weight)
        self._queues[ticket.account].put(ticket, first)
        self._size += 1

    def put_back(self, ticket: Ticket[T], first: bool = False) -> None:
        """Return a ticket that was taken but could not be served; its account is not charged.

        With `first`, it keeps its place before others of its account and priority.
        """
        self.put(ticket, first)
        queue = self._queues[ticket.account]
        queue.deficit += ticket.tokens
        queue.taken -= 1
        if ticket.overtaken:
            ticket.overtaken = False
            self._overtakings = STARVATION_INTERVAL - 1
        elif self._has_less_urgent(ticket.priority):
            self._overtakings = max(0, self._overtakings - 1)

    def take(self, blocked: Collection[int] | None = None) -> Ticket[T] | None:
        """Remove and return the next ticket, or `None` if there is none.

        `blocked` lists priorities for which no replica has room. With it, more urgent requests may
        find room while less urgent ones find none. So every tenth ticket is then the less urgent
        one with the earliest deadline, in whichever account, and `overtaken` is set.
        """
        if blocked is not None and self._overtakings >= STARVATION_INTERVAL - 1:
            overtaken = self._find_overtaken()
            if overtaken is not None:
                self._overtakings = 0
                overtaken.overtaken = True
                return self._pop(overtaken)
        accounts = [a for a, q in self._queues.items() if q.has_other_than(blocked or ())]
        if not accounts:
            return None
        if not self._list_eligible(accounts, blocked):
            self._grant_quanta(accounts, blocked)
        eligible = self._list_eligible(accounts, blocked)
        account = min(eligible, key=lambda a: self._queues[a].get_next(blocked).priority)
        ticket = self._pop(self._queues[account].get_next(blocked))
        if blocked is not None:
            self.note_overtaking(ticket.priority)
        return ticket

    def note_overtaking(self, priority: int) -> None:
        """Count a request of this priority for the turns of less urgent tickets; see `take`.

        One that is placed without being queued delays them as much as one that is taken.
        """
        if self._has_less_urgent(priority):
            most_urgent = min(self._overtaker, priority) if self._overtakings else priority
            self._overtaker = most_urgent
            self._overtakings += 1

    def note_room(self, priority: int) -> None:
        """Record that a ticket of this priority was placed without having been overtaken.

        If no less urgent ones wait, none of the overtaken ones lacks room, and turns are needless.
        """
        if priority > self._overtaker and not self._has_less_urgent(priority):
            self._overtakings = 0

    def has_as_urgent(self, priority: int) -> bool:
        """Return whether a ticket of the same or a more urgent priority waits."""
        return any(min(queue.classes) <= priority for queue in self._queues.values())

    def remove(self, matches: Callable[[Ticket[T]], bool]) -> list[Ticket[T]]:
        """Remove and return all tickets that match the predicate."""
        removed = []
        for account, queue in list(self._queues.items()):
            removed += queue.remove(matches)
            if not queue.classes:
                del self._queues[account]
        self._size -= len(removed)
        return removed

    def has_waiting(self, account: str) -> bool:
        """Return whether an account has tickets waiting, so that its demand exceeds its share."""
        return account in self._queues

    def count_ahead(
        self, account: str, weight: int, priority: int, tokens: int, by_priority: bool = False
    ) -> int:
        """Return the tokens that are served before a new ticket of this account and priority.

        These are the account's own tickets that are at least as urgent, and of each other account
        at most its fair share during the time in which the own tickets are served. With
        `by_priority`, for queues taken from with `blocked`, less urgent ones don't count.
        """
        least_urgent = priority if by_priority else float('inf')
        own = tokens
        if account in self._queues:
            own += sum(t.tokens for t in self._queues[account] if t.priority <= priority)
        ahead = own - tokens
        for name, queue in self._queues.items():
            if name != account:
                share = own * queue.weight // weight + self.quantum
                waiting = sum(t.tokens for t in queue if t.priority <= least_urgent)
                ahead += min(share, waiting)
        return ahead

    def _pop(self, ticket: Ticket[T]) -> Ticket[T]:
        queue = self._queues[ticket.account]
        queue.pop(ticket)
        self._size -= 1
        if not queue.classes:
            del self._queues[ticket.account]
        return ticket

    def _has_less_urgent(self, priority: int) -> bool:
        return any(max(queue.classes) > priority for queue in self._queues.values())

    def _find_overtaken(self) -> Ticket[T] | None:
        """Return the ticket with the earliest deadline among those that were overtaken."""
        others = (t for q in self._queues.values() for t in q if t.priority > self._overtaker)
        return min(others, key=lambda t: t.deadline, default=None)

    def _list_eligible(
        self, accounts: Collection[str], blocked: Collection[int] | None
    ) -> list[str]:
        queues = self._queues
        return [a for a in accounts if queues[a].deficit >= queues[a].get_next(blocked).tokens]

    def _grant_quanta(self, accounts: Collection[str], blocked: Collection[int] | None) -> None:
        """Grant quanta to these accounts until at least one has enough for its next ticket."""
        queues = [self._queues[a] for a in accounts]
        rounds = min(
            -(-(queue.get_next(blocked).tokens - queue.deficit) // (self.quantum * queue.weight))
            for queue in queues
        )
        for queue in queues:
            queue.deficit += self.quantum * queue.weight * rounds


def predict_wait(ahead_tokens: int, tokens_per_second: float) -> float:
    """Return the seconds until `ahead_tokens` have been served."""
    return ahead_tokens / max(tokens_per_second, 1.0)
