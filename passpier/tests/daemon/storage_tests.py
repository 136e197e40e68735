"""Concurrent writes of the configuration, lost responses of the store, and the placement lease."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence

import hypothesis
import hypothesis.strategies as st
import msgspec
import pytest

from passpier import exceptions
from passpier.clients import store
from passpier.core import revisions
from passpier.daemon import storage
from passpier.standins import virtual_time
from passpier.tests import fakes


class RewritingStorage(storage.Storage):
    """Broken variant: treats a lost response as a failed write and writes again."""

    async def accept_revision(
        self, document: bytes, base: int, nonce: str
    ) -> revisions.Revision | int:
        for attempt in range(3):
            try:
                return await super().accept_revision(document, base, f'{nonce}-{attempt}')
            except exceptions.StoreError:
                continue
        raise exceptions.StoreError('gave up')


class RecordingStore(fakes.FaultyStore):
    """The test oracle: records the nonce of each revision."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self.nonces: dict[int, str] = {}

    async def write(
        self,
        operations: Sequence[store.Put | store.Delete],
        conditions: Sequence[store.ExpectedRevision] = (),
    ) -> bool:
        try:
            return await super().write(operations, conditions)
        finally:
            value = self._values.get(storage.INDEX_KEY)
            if value is not None:
                index = msgspec.json.decode(value.data, type=revisions.Index)
                self.nonces.setdefault(index.revision, index.nonce)


async def write_concurrently(
    kind: type[storage.Storage], seed: int, loss: float, operators: int
) -> None:
    """Operators write concurrently on top of what they read; the store's history is the oracle."""
    rng = random.Random(seed)
    shared = RecordingStore(rng)
    accepted: dict[int, bytes] = {}
    seen: list[int] = []

    async def operate(number: int) -> None:
        own_storage = kind(shared, 10, random.Random(seed + number))
        for turn in range(3):
            base = max(accepted, default=0)
            document = f'{{"by": {number}, "turn": {turn}}}'.encode()
            try:
                result = await own_storage.accept_revision(document, base, f'n{number}-{turn}')
            except exceptions.StoreError:
                continue
            if isinstance(result, revisions.Revision):
                assert result.index.revision not in accepted, 'two operators won'
                accepted[result.index.revision] = document
            else:
                nonce = shared.nonces.get(base + 1, '')
                assert not nonce.startswith(f'n{number}-{turn}'), 'a conflict with itself'

    async def follow() -> None:
        own_storage = storage.Storage(shared, 10, random.Random(seed - 1))
        holder = revisions.ActiveRevision()
        for _ in range(40):
            await asyncio.sleep(0.01)
            try:
                found = await own_storage.read_revision(holder.current)
            except exceptions.StoreError:
                continue
            if found is not None:
                holder.install(found)
            seen.append(holder.number)

    shared.loss = loss
    await asyncio.gather(*(operate(n) for n in range(operators)), follow())
    shared.loss = 0.0
    final = await storage.Storage(shared, 10, rng).read_revision(None)
    if accepted:
        assert final is not None
        assert final.index.revision >= max(accepted)
        if final.index.revision in accepted:
            assert final.document == accepted[final.index.revision]
    assert seen == sorted(seen)


@hypothesis.settings(max_examples=60)
@hypothesis.given(st.integers(0, 10_000), st.sampled_from([0.0, 0.1, 0.3]), st.integers(1, 4))
def test_concurrent_operators(seed: int, loss: float, operators: int) -> None:
    virtual_time.run(write_concurrently(storage.Storage, seed, loss, operators))


def test_broken_variant_is_caught() -> None:
    with pytest.raises(AssertionError):
        for seed in range(200):
            virtual_time.run(write_concurrently(RewritingStorage, seed, 0.3, 3))


def test_large_documents_are_chunked() -> None:
    async def run() -> None:
        shared = store.MemoryStore()
        own_storage = storage.Storage(shared, 10, random.Random(1))
        document = random.Random(2).randbytes(3 * revisions.CHUNK_SIZE + 17)
        accepted = await own_storage.accept_revision(document, 0, 'n')
        assert isinstance(accepted, revisions.Revision)
        assert max(len(v.data) for v in await shared.read('/passpier/')) < 1_000_000
        found = await own_storage.read_revision(None)
        assert found is not None
        assert found.document == document
        assert await own_storage.read_revision(found) is None

    virtual_time.run(run())


@hypothesis.given(st.lists(st.integers(1, 9), max_size=20))
def test_the_revision_of_a_holder_never_decreases(numbers: list[int]) -> None:
    holder = revisions.ActiveRevision()
    for number in numbers:
        before = holder.number
        holder.install(revisions.Revision(revisions.Index(number, (), '', 0), {}))
        assert holder.number == max(before, number)


def test_damaged_chunks_build_no_document() -> None:
    chunks = {revisions.hash_chunk(c): c for c in revisions.split_document(b'abc')}
    index = revisions.Index(1, tuple(chunks), '', 0)
    built = revisions.build_revision(index, chunks)
    assert built is not None
    assert built.document == b'abc'
    assert revisions.build_revision(index, dict.fromkeys(chunks, b'abd')) is None
    assert revisions.build_revision(index, {}) is None


@hypothesis.given(st.lists(st.sampled_from([b'},{', b'a', b'"n":1', b'{']), max_size=200))
def test_chunks_join_to_the_document(parts: list[bytes]) -> None:
    document = b''.join(parts)
    assert b''.join(revisions.split_document(document)) == document


def test_a_change_of_one_account_changes_two_chunks_at_most() -> None:
    items = [f'"name":"account-{n}","limit":{n % 7}'.encode() for n in range(5000)]
    before = set(revisions.split_document(b'},{'.join(items)))
    items[2500] += b',"weight":2'
    items.insert(100, b'"name":"newcomer"')
    after = set(revisions.split_document(b'},{'.join(items)))
    assert len(before) > 20
    assert len(after - before) <= 4


def test_the_placement_lease_is_held_by_one() -> None:
    async def run() -> None:
        shared = store.MemoryStore()
        both = [storage.Storage(shared, 10, random.Random(n)) for n in range(2)]
        fences = [await s.acquire_placement(f'i{n}') for n, s in enumerate(both)]
        assert fences[0] > 0
        assert fences[1] == 0

    virtual_time.run(run())
