"""The choice of readers of the registry, and which of them the others ask."""

from __future__ import annotations

import random

import hypothesis
import hypothesis.strategies as st
import msgspec

from passpier.core import members, readers


def make_fleet(size: int) -> list[members.Member]:
    return [
        members.Member(f'vm-{n}', f'i{n:04}', f'10.0.0.{n}', 80, 90, f'd{n % 4}')
        for n in range(size)
    ]


@hypothesis.given(st.integers(1, 300), st.randoms())
def test_the_choice_does_not_depend_on_the_order_of_members(size: int, rng: random.Random) -> None:
    fleet = make_fleet(size)
    chosen = readers.choose_readers(fleet)
    rng.shuffle(fleet)
    assert readers.choose_readers(fleet) == chosen
    assert min(size, readers.MIN_READERS) <= len(chosen) <= max(readers.MIN_READERS, size / 24 + 1)


@hypothesis.given(st.integers(8, 120), st.integers(0, 7))
def test_the_loss_of_a_member_changes_few_readers(size: int, lost: int) -> None:
    fleet = make_fleet(size)
    before = {m.name for m in readers.choose_readers(fleet)}
    after = {m.name for m in readers.choose_readers(fleet[:lost] + fleet[lost + 1 :])}
    assert len(before - after) <= 2
    assert before - after <= {f'vm-{lost}'} | before


def test_every_reader_is_asked_in_turn() -> None:
    fleet = make_fleet(30)
    chosen = readers.choose_readers(fleet)
    own = next(m for m in fleet if m not in chosen)
    asked = [readers.pick_reader(own, chosen, turn) for turn in range(len(chosen))]
    assert {m.name for m in asked if m} == {m.name for m in chosen}


def test_queries_are_spread_over_the_readers() -> None:
    fleet = make_fleet(200)
    chosen = readers.choose_readers(fleet)
    asked = [readers.pick_reader(m, chosen, 0) for m in fleet if m not in chosen]
    most = max(sum(m == reader for m in asked) for reader in chosen)
    assert most <= 2.2 * len(asked) / len(chosen)


def test_large_vms_are_chosen_first() -> None:
    fleet = make_fleet(40)
    large = [msgspec.structs.replace(m, capacity=2.0) for m in fleet[10:14]]
    chosen = readers.choose_readers([*fleet[:10], *large, *fleet[14:]])
    assert {m.capacity for m in chosen} == {2.0}


def test_a_single_daemon_asks_no_other() -> None:
    (own,) = make_fleet(1)
    assert readers.choose_readers([own]) == [own]
    assert readers.pick_reader(own, [own], 0) is None
