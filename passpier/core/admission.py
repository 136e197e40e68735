"""Fair queues of requests that wait for a replica, with priorities and deadlines."""

from __future__ import annotations

import collections
from collections.abc import Callable, Iterator
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

    def put(self, ticket: Ticket[T]) -> None:
        self.classes.setdefault(ticket.priority, collections.deque()).append(ticket)

    def get_next(self) -> Ticket[T]:
        starving = (self.taken + 1) % STARVATION_INTERVAL == 0
        return self.classes[max(self.classes) if starving else min(self.classes)][0]

    def pop_next(self) -> Ticket[T]:
        ticket = self.get_next()
        self.taken += 1
        self.deficit -= ticket.tokens
        self.classes[ticket.priority].popleft()
        self._drop_empty(ticket.priority)
        return ticket

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
        self._queues: dict[str, _AccountQueue[T]] = {}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> Iterator[Ticket[T]]:
        for queue in self._queues.values():
            yield from queue

    def put(self, ticket: Ticket[T]) -> None:
        """Append a ticket to its account's queue of that priority."""
        if ticket.account not in self._queues:
            self._queues[ticket.account] = _AccountQueue(ticket.weight)
        self._queues[ticket.account].put(ticket)
        self._size += 1

    def put_back(self, ticket: Ticket[T]) -> None:
        """Return a ticket that was taken but could not be served; its account is not charged."""
        self.put(ticket)
        queue = self._queues[ticket.account]
        queue.deficit += ticket.tokens
        queue.taken -= 1

    def take(self) -> Ticket[T] | None:
        """Remove and return the next ticket, or `None` if the queue is empty."""
        if not self._size:
            return None
        if not self._list_eligible():
            self._grant_quanta()
        account = min(self._list_eligible(), key=lambda a: self._queues[a].get_next().priority)
        ticket = self._queues[account].pop_next()
        self._size -= 1
        if not self._queues[account].classes:
            del self._queues[account]
        return ticket

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

    def count_ahead(self, account: str, weight: int, priority: int, tokens: int) -> int:
        """Return the tokens that are served before a new ticket of this account and priority.

        These are the account's own tickets that are at least as urgent, and of each other account
        at most its fair share during the time in which the own tickets are served.
        """
        own = tokens
        if account in self._queues:
            own += sum(t.tokens for t in self._queues[account] if t.priority <= priority)
        ahead = own - tokens
        for name, queue in self._queues.items():
            if name != account:
                share = own * queue.weight // weight + QUANTUM
                ahead += min(share, sum(t.tokens for t in queue))
        return ahead

    def _list_eligible(self) -> list[str]:
        return [a for a, queue in self._queues.items() if queue.deficit >= queue.get_next().tokens]

    def _grant_quanta(self) -> None:
        """Grant quanta to all accounts until at least one has enough for its next ticket."""
        rounds = min(
            -(-(queue.get_next().tokens - queue.deficit) // (QUANTUM * queue.weight))
            for queue in self._queues.values()
        )
        for queue in self._queues.values():
            queue.deficit += QUANTUM * queue.weight * rounds


def predict_wait(ahead_tokens: int, tokens_per_second: float) -> float:
    """Return the seconds until `ahead_tokens` have been served."""
    return ahead_tokens / max(tokens_per_second, 1.0)
