"""Queues of requests that wait for a replica: priorities, fairness, deadlines."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

QUANTUM = 2048
"""Tokens that one turn of an account of weight 1 grants."""

STARVATION_TURNS = 10
"""Every so many takes, the lowest waiting priority goes first."""

MAX_WAITING = 2000
"""Requests that may wait in one queue."""

T = TypeVar('T')


@dataclasses.dataclass(slots=True)
class Ticket(Generic[T]):
    """A waiting request; tokens are its estimated work."""

    item: T
    account: str
    weight: int
    priority: int
    tokens: int
    deadline: float
    """Time by which the first token is due."""


@dataclasses.dataclass(slots=True)
class _Lane(Generic[T]):
    tickets: collections.deque[Ticket[T]] = dataclasses.field(default_factory=collections.deque)
    deficit: int = 0


class FairQueue(Generic[T]):
    """Strict priorities with a share against starvation; deficit round robin between accounts."""

    def __init__(self) -> None:
        self._classes: dict[int, collections.OrderedDict[str, _Lane[T]]] = {}
        self._takes = 0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> Iterator[Ticket[T]]:
        for lanes in self._classes.values():
            for lane in lanes.values():
                yield from lane.tickets

    def put(self, ticket: Ticket[T]) -> None:
        """Add a ticket behind its account's others of the same priority."""
        lanes = self._classes.setdefault(ticket.priority, collections.OrderedDict())
        lanes.setdefault(ticket.account, _Lane()).tickets.append(ticket)
        self._size += 1

    def take(self) -> Ticket[T] | None:
        """Remove and return the next ticket."""
        if not self._size:
            return None
        self._takes += 1
        priorities = sorted(self._classes)
        starving = self._takes % STARVATION_TURNS == 0
        return self._take_from(priorities[-1] if starving else priorities[0])

    def remove(self, wanted: Callable[[Ticket[T]], bool]) -> list[Ticket[T]]:
        """Remove and return all tickets that fit."""
        removed = []
        for priority in list(self._classes):
            lanes = self._classes[priority]
            for account in list(lanes):
                lane = lanes[account]
                removed += [t for t in lane.tickets if wanted(t)]
                lane.tickets = collections.deque(t for t in lane.tickets if not wanted(t))
                self._drop_empty(priority, account)
        self._size -= len(removed)
        return removed

    def count_ahead(self, account: str, weight: int, priority: int, tokens: int) -> int:
        """Return the tokens that are served before a new ticket of this account and priority.

        More urgent work goes first; of equally urgent work each other account goes first only
        as far as its fair share while this account's own work is served.
        """
        ahead = 0
        own = tokens
        for other, lanes in self._classes.items():
            if other < priority:
                ahead += sum(t.tokens for lane in lanes.values() for t in lane.tickets)
        lanes = self._classes.get(priority, collections.OrderedDict())
        if account in lanes:
            own += sum(t.tokens for t in lanes[account].tickets)
        for name, lane in lanes.items():
            if name == account:
                continue
            share = own * lane.tickets[0].weight // weight + QUANTUM
            ahead += min(share, sum(t.tokens for t in lane.tickets))
        return ahead + own - tokens

    def _take_from(self, priority: int) -> Ticket[T]:
        lanes = self._classes[priority]
        while True:
            account, lane = next(iter(lanes.items()))
            ticket = lane.tickets[0]
            if lane.deficit >= ticket.tokens:
                lane.deficit -= ticket.tokens
                lane.tickets.popleft()
                self._size -= 1
                self._drop_empty(priority, account)
                return ticket
            lane.deficit += QUANTUM * ticket.weight
            lanes.move_to_end(account)

    def _drop_empty(self, priority: int, account: str) -> None:
        lanes = self._classes[priority]
        if not lanes[account].tickets:
            del lanes[account]
        if not lanes:
            del self._classes[priority]


def predict_wait(ahead_tokens: int, tokens_per_second: float) -> float:
    """Return the seconds until `ahead_tokens` are done."""
    return ahead_tokens / max(tokens_per_second, 1.0)
