"""Fair queues lose no ticket, respect priorities and share fairly."""

from __future__ import annotations

import hypothesis
import hypothesis.strategies as st

from passpier.core import admission

TICKETS = st.lists(
    st.tuples(st.sampled_from('abc'), st.integers(0, 3), st.integers(1, 9000)), max_size=40
)


def make_ticket(number: int, account: str, priority: int, tokens: int, weight: int = 1):
    return admission.Ticket(number, account, weight, priority, tokens, 0.0)


def fill(tickets: list[tuple[str, int, int]]) -> admission.FairQueue[int]:
    queue: admission.FairQueue[int] = admission.FairQueue()
    for number, (account, priority, tokens) in enumerate(tickets):
        queue.put(make_ticket(number, account, priority, tokens))
    return queue


@hypothesis.given(TICKETS)
def test_every_ticket_is_taken_once_and_in_order_per_account(
    tickets: list[tuple[str, int, int]],
) -> None:
    queue = fill(tickets)
    taken = [ticket for _ in tickets if (ticket := queue.take())]
    assert sorted(t.item for t in taken) == list(range(len(tickets)))
    assert queue.take() is None
    for account in 'abc':
        for priority in range(4):
            own = [t.item for t in taken if (t.account, t.priority) == (account, priority)]
            assert own == sorted(own)


@hypothesis.given(TICKETS, st.sampled_from('abc'))
def test_removed_tickets_are_not_taken(tickets: list[tuple[str, int, int]], account: str) -> None:
    queue = fill(tickets)
    removed = queue.remove(lambda t: t.account == account)
    rest = [queue.take() for _ in range(len(queue))]
    assert len(removed) + len(rest) == len(tickets)
    assert all(t is not None and t.account != account for t in rest)


def test_urgent_tickets_go_first_with_a_share_for_the_rest() -> None:
    queue: admission.FairQueue[int] = admission.FairQueue()
    for number in range(100):
        queue.put(make_ticket(number, 'a', 0, 100))
        queue.put(make_ticket(1000 + number, 'a', 3, 100))
    first = [queue.take() for _ in range(50)]
    late = sum(t is not None and t.priority == 3 for t in first)
    assert late == 50 // admission.STARVATION_INTERVAL


def test_a_greedy_account_does_not_delay_another() -> None:
    queue: admission.FairQueue[int] = admission.FairQueue()
    for number in range(500):
        queue.put(make_ticket(number, 'greedy', 1, 1000))
    queue.put(make_ticket(9999, 'modest', 1, 1000))
    order = [ticket.item for _ in range(10) if (ticket := queue.take())]
    assert 9999 in order
    assert queue.count_ahead('modest', 1, 1, 1000) < queue.count_ahead('greedy', 1, 1, 1000) / 10


def test_urgent_floods_do_not_starve_other_accounts() -> None:
    """Guards against ranking priorities before accounts, where urgent floods block all others."""
    queue: admission.FairQueue[int] = admission.FairQueue()
    for number in range(500):
        queue.put(make_ticket(number, 'greedy', 0, 1000))
    for number in range(5):
        queue.put(make_ticket(9000 + number, 'modest', 3, 1000))
    order = [ticket.account for _ in range(20) if (ticket := queue.take())]
    assert order.count('modest') == 5


def test_urgent_work_goes_first_within_a_round() -> None:
    queue: admission.FairQueue[int] = admission.FairQueue()
    queue.put(make_ticket(1, 'a', 2, 1000))
    queue.put(make_ticket(2, 'b', 0, 1000))
    first = queue.take()
    assert first is not None
    assert first.item == 2


def test_work_is_divided_by_weight() -> None:
    queue: admission.FairQueue[int] = admission.FairQueue()
    for number in range(300):
        queue.put(make_ticket(number, 'heavy', 1, 1024, weight=3))
        queue.put(make_ticket(number, 'light', 1, 1024, weight=1))
    taken = [ticket.account for _ in range(200) if (ticket := queue.take())]
    assert 2.5 < taken.count('heavy') / taken.count('light') < 3.5


@hypothesis.given(TICKETS, st.sets(st.integers(0, 3)))
def test_blocked_priorities_wait_for_their_turn(
    tickets: list[tuple[str, int, int]], blocked: set[int]
) -> None:
    """Tickets put back keep their turn, and all are taken once nothing is blocked."""
    queue = fill(tickets)
    taken = []
    while (ticket := queue.take(blocked)) is not None:
        assert ticket.overtaken or ticket.priority not in blocked
        taken.append(ticket)
    for ticket in taken[::2]:
        queue.put_back(ticket)
    rest = [ticket for _ in range(len(queue)) if (ticket := queue.take(()))]
    assert sorted(t.item for t in [*taken[1::2], *rest]) == list(range(len(tickets)))
    assert queue.take(()) is None


def test_returned_tickets_go_first_within_account_and_priority() -> None:
    queue = fill([('a', 1, 1), ('a', 0, 1)])
    for number in (2, 3):
        ticket = make_ticket(number, 'a', 1, 1)
        ticket.returned = True
        queue.put(ticket)
    assert [ticket.item for _ in range(4) if (ticket := queue.take(()))] == [1, 2, 3, 0]
