"""The units in use over all daemons never exceed an account's limit."""

from __future__ import annotations

import hypothesis
import hypothesis.strategies as st
import pytest
from hypothesis import stateful

from passpier.core import shares
from passpier.tests import broken

DAEMONS = ['d1', 'd2', 'd3', 'd4']
LIMIT = 5
FIRST = shares.Generation(1, 1)


def make_grant(epoch: int, holders: list[str], limit: int = LIMIT, revision: int = 1):
    listed = {name: shares.Holder(name, name[-1]) for name in holders}
    limits = {'acme': shares.Limit(limit, 1_000_000)}
    return shares.Grant(shares.Generation(epoch, revision), listed, limits, 2)


class EarlyBook(shares.ShareBook):
    """Broken variant: uses the units of a new generation before it is settled."""

    def install(self, grant: shares.Grant) -> None:
        super().install(grant)
        self.settle(lambda name: None)


class UncheckedBook(shares.ShareBook):
    """Broken variant: confirms a generation whose units don't cover its requests in flight."""

    def get_confirmable(self, below: float = 0.0) -> shares.Generation:
        return self.generation


class ShareMachine(stateful.RuleBasedStateMachine):
    """Daemons that receive epochs and each other's confirmations late and in any order."""

    book_type: type[shares.ShareBook] = shares.ShareBook

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.stopped: set[str] = set()
        self.books = {name: self.book_type(name) for name in DAEMONS}
        self.grants = [make_grant(1, DAEMONS[:2])]
        self.heard = {(a, b): shares.Generation(0, 0) for a in DAEMONS for b in DAEMONS}
        self.used = dict.fromkeys(DAEMONS, 0)
        self.loans: list[tuple[str, str, str]] = []
        self.serial = 0
        for name in DAEMONS:
            self.learn(name, 0)
        for name in DAEMONS:
            self.sync(name, set(DAEMONS))

    @stateful.precondition(lambda self: set(DAEMONS) - self.stopped - set(self.grants[-1].holders))
    @stateful.rule()
    def join(self) -> None:
        """Write an epoch with an additional holder."""
        newcomers = sorted(set(DAEMONS) - self.stopped - set(self.grants[-1].holders))
        self.write_epoch([*self.grants[-1].holders, newcomers[0]])

    @stateful.rule(name=st.sampled_from(DAEMONS))
    def leave(self, name: str) -> None:
        """Write an epoch without a holder that has stopped and has no more requests."""
        stays = set(self.grants[-1].holders) - {name}
        lent = any(lender == name for _, lender, _ in self.loans)
        if stays and not self.used[name] and not lent:
            self.stopped.add(name)
            self.write_epoch(sorted(stays))

    def write_epoch(self, holders: list[str]) -> None:
        self.grants.append(make_grant(len(self.grants) + 1, holders))

    @stateful.rule(name=st.sampled_from(DAEMONS), back=st.integers(0, 1))
    def learn(self, name: str, back: int) -> None:
        if name not in self.stopped:
            self.books[name].install(self.grants[max(0, len(self.grants) - 1 - back)])
            self.books[name].note_store_contact(self.now)

    @stateful.rule()
    def learn_all(self) -> None:
        for name in DAEMONS:
            self.learn(name, 0)

    @stateful.rule(
        name=st.sampled_from(DAEMONS),
        sources=st.just(set(DAEMONS)) | st.sets(st.sampled_from(DAEMONS)),
    )
    def sync(self, name: str, sources: set[str]) -> None:
        """Receive the confirmations of some daemons and settle if possible."""
        if name in self.stopped:
            return
        book = self.books[name]
        for source in sources:
            self.heard[source, name] = self.books[source].get_confirmable()

        def get_confirmed(other: str) -> shares.Generation | None:
            if other == name:
                return book.get_confirmable()
            return self.heard[other, name] if other in book.holders else None

        book.settle(get_confirmed)

    @stateful.rule(name=st.sampled_from(DAEMONS), wanted=st.integers(1, LIMIT))
    def acquire(self, name: str, wanted: int) -> None:
        if name in self.stopped:
            return
        for _ in range(wanted):
            if self.books[name].acquire('acme', self.now):
                self.used[name] += 1

    @stateful.rule(name=st.sampled_from(DAEMONS))
    def release(self, name: str) -> None:
        if self.used[name]:
            self.used[name] -= 1
            self.books[name].release('acme')

    @stateful.rule(lender=st.sampled_from(DAEMONS), borrower=st.sampled_from(DAEMONS))
    def lend(self, lender: str, borrower: str) -> None:
        self.serial += 1
        loan = f'loan-{self.serial}'
        alive = lender not in self.stopped
        if (
            alive
            and lender != borrower
            and self.books[lender].lend(loan, 'acme', borrower, self.now)
        ):
            self.loans.append((loan, lender, borrower))

    @stateful.precondition(lambda self: self.loans)
    @stateful.rule(lost=st.booleans())
    def repay(self, lost: bool) -> None:
        loan, lender, borrower = self.loans.pop()
        if not lost:
            self.books[lender].repay(loan, 10, self.now)
            return
        active = {name for name, _, who in self.loans if who == borrower}
        self.books[lender].reconcile(borrower, active, self.now + 2 * shares.LOAN_GRACE)

    @stateful.invariant()
    def never_exceeds_the_limit(self) -> None:
        assert sum(self.used.values()) + len(self.loans) <= LIMIT


class EarlyMachine(ShareMachine):
    book_type = EarlyBook


class UncheckedMachine(ShareMachine):
    book_type = UncheckedBook


ShareTest = ShareMachine.TestCase
ShareTest.settings = hypothesis.settings(max_examples=150, stateful_step_count=30)


def test_broken_variant_is_caught() -> None:
    broken.check_detects_fault(EarlyMachine)


def join_under_load(machine: ShareMachine) -> None:
    """A third holder joins while the first two use the whole limit."""
    machine.acquire('d1', LIMIT)
    machine.acquire('d2', LIMIT)
    machine.join()
    machine.learn_all()
    machine.sync('d3', set(DAEMONS))
    machine.acquire('d3', LIMIT)
    machine.never_exceeds_the_limit()


def test_a_holder_confirms_only_once_its_requests_fit() -> None:
    join_under_load(ShareMachine())
    with pytest.raises(AssertionError):
        join_under_load(UncheckedMachine())


def settle_all(books: list[shares.ShareBook]) -> None:
    for book in books:
        book.settle(lambda name: next(b for b in books if b.holder == name).get_confirmable())


def test_the_whole_limit_is_usable_once_settled() -> None:
    books = [shares.ShareBook(name) for name in DAEMONS[:3]]
    for book in books:
        book.install(make_grant(1, DAEMONS[:3]))
        book.note_store_contact(0.0)
    settle_all(books)
    taken = sum(book.acquire('acme', 0.0) for book in books for _ in range(LIMIT))
    assert taken == LIMIT


def test_an_isolated_daemon_uses_no_units() -> None:
    books = [shares.ShareBook(name) for name in DAEMONS[:2]]
    for book in books:
        book.install(make_grant(1, DAEMONS[:2]))
        book.note_store_contact(0.0)
    settle_all(books)
    assert books[0].acquire('acme', shares.FENCE_SECONDS - 1)
    assert not books[0].acquire('acme', shares.FENCE_SECONDS + 1)
    assert shares.FENCE_SECONDS < shares.GONE_SECONDS


def test_daemons_that_are_isolated_together_use_no_units() -> None:
    """Guards against both halves of a partitioned fleet using units.

    One half reaches the store and drops the other from the epoch as certainly gone. When contact
    among the daemons of the other half was enough for it to continue, the limit was exceeded.
    """
    left, right = DAEMONS[:2], DAEMONS[2:4]
    books = make_settled(DAEMONS)
    now = shares.GONE_SECONDS + 1.0
    for half in (left, right):
        connect_all(books, half, now - 1.0)
    for name in right:
        books[name].note_store_contact(now - 1.0)
        assert books[name].may_drop(FIRST, now)
        books[name].install(make_grant(2, list(right)))
        books[name].settle(lambda n: None if n in left else shares.Generation(2, 1))
    taken = {n: sum(b.acquire('acme', now) for _ in range(LIMIT)) for n, b in books.items()}
    assert sum(taken.values()) <= LIMIT
    assert [taken[name] for name in left] == [0, 0]
    assert sum(taken[name] for name in right) == LIMIT


def make_settled(names: list[str]) -> dict[str, shares.ShareBook]:
    books = {name: shares.ShareBook(name) for name in names}
    for book in books.values():
        book.install(make_grant(1, names))
        book.note_store_contact(0.0)
    settle_all(list(books.values()))
    return books


def connect_all(books: dict[str, shares.ShareBook], names: list[str], at: float) -> None:
    for name in names:
        for other in names:
            books[name].note_holder_contact(other, at)


def test_at_most_one_side_of_a_partition_continues_or_takes_over() -> None:
    """A side without the store continues only as the majority; the other may not drop it then."""
    now = shares.GONE_SECONDS + 1.0
    for count in range(1, 8):
        names = [f'd{n}' for n in range(count)]
        for size in range(count):
            cut, rest = names[: size + 1], names[size + 1 :]
            books = make_settled(names)
            for side in (cut, rest):
                connect_all(books, side, now)
            continues = not books[cut[0]].is_isolated(now)
            assert continues == (2 * len(cut) > count)
            if rest:
                assert books[rest[0]].may_drop(FIRST, now) != continues


def test_a_majority_continues_during_a_long_store_outage() -> None:
    books = make_settled(DAEMONS)
    alive = DAEMONS[:3]
    for hour in range(1, 24):
        now = hour * 3600.0
        connect_all(books, alive, now - 1.0)
        assert all(
            books[name].acquire('acme', now) for name in alive if books[name].get_held('acme')
        )
        for name in alive:
            if books[name].get_held('acme'):
                books[name].release('acme')


def test_holders_that_announced_their_stop_are_not_counted() -> None:
    books = make_settled(DAEMONS)
    now = shares.GONE_SECONDS + 1.0
    last = books['d1']
    assert last.is_isolated(now)
    last.departed |= {'d2', 'd3', 'd4'}
    assert not last.is_isolated(now)
    assert last.may_drop(FIRST, now)


def test_generations_before_the_confirmed_one_do_not_count() -> None:
    """Half of the newest generation is in contact, but only a minority of the one before."""
    books = make_settled(DAEMONS)
    now = shares.GONE_SECONDS + 1.0
    book = books['d1']
    book.install(make_grant(2, ['d1', 'd3', 'd5', 'd6']))
    for heard in ('d5',):
        book.note_holder_contact(heard, now)
    assert not book.may_drop(FIRST, now)
    assert not book.may_drop(shares.Generation(2, 1), now)
    book.departed |= {'d2', 'd4'}
    assert not book.may_drop(FIRST, now)
    assert book.may_drop(shares.Generation(2, 1), now)


def test_a_daemon_without_a_settled_generation_drops_no_earlier_holder() -> None:
    newcomer = shares.ShareBook('d9')
    newcomer.install(make_grant(1, ['d1', 'd9']))
    unknown = shares.NO_GRANT.generation
    assert not newcomer.may_drop(unknown, shares.GONE_SECONDS)
    assert newcomer.may_drop(FIRST, shares.GONE_SECONDS)
    newcomer.note_holder_contact('d1', shares.GONE_SECONDS)
    assert newcomer.may_drop(unknown, shares.GONE_SECONDS)


def test_a_raised_limit_applies_once_settled_and_a_lowered_one_at_once() -> None:
    books = [shares.ShareBook(name) for name in DAEMONS[:2]]
    for book in books:
        book.install(make_grant(1, DAEMONS[:2], 4))
        book.note_store_contact(0.0)
    settle_all(books)
    books[0].install(make_grant(1, DAEMONS[:2], 8, revision=2))
    assert books[0].get_held('acme') == 2
    settle_all(books)
    assert books[0].get_held('acme') == 2
    books[1].install(make_grant(1, DAEMONS[:2], 8, revision=2))
    settle_all(books)
    assert books[0].get_held('acme') == 4
    books[0].install(make_grant(1, DAEMONS[:2], 2, revision=3))
    assert books[0].get_held('acme') == 1


def test_the_token_rate_is_limited_by_the_share() -> None:
    book = shares.ShareBook('d1')
    grant = shares.Grant(
        shares.Generation(1, 1),
        {'d1': shares.Holder('d1', 'a')},
        {'acme': shares.Limit(2, 100)},
        1,
    )
    book.install(grant)
    book.settle(lambda name: book.get_confirmable())
    assert book.acquire('acme', 0.0)
    book.charge('acme', 300, 0.0)
    book.release('acme')
    assert not book.acquire('acme', 1.0)
    assert 1.5 < book.compute_retry_after('acme') < 2.5
    assert book.acquire('acme', 4.0)


def test_a_unit_lent_to_a_killed_daemon_is_kept_until_that_is_certainly_gone() -> None:
    lender = shares.ShareBook('d1')
    lender.note_store_contact(0.0)
    lender.install(make_grant(1, ['d1', 'd2']))
    lender.settle(lambda name: None)
    units = lender.get_held('acme')
    assert lender.lend('loan', 'acme', 'd9', 0.0)
    taken = sum(lender.acquire('acme', 0.0) for _ in range(LIMIT))
    assert taken == units - 1
    # There is no contact with the borrower, but its request may still be running.
    assert not lender.acquire('acme', 10.0)
    lender.note_store_contact(20.0)
    lender.drop_borrower('d9', 20.0)
    assert lender.acquire('acme', 20.0)
