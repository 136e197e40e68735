"""The store's client while the store returns from an older copy, with answers that arrive late."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Coroutine
from typing import Any, cast

import pytest

from passpier import exceptions
from passpier.clients import connections, exchanges, registry
from passpier.platform import names, store


class Pool:
    """Answers calls with scripted responses, in order; `sent` are the calls."""

    def __init__(self, *responses: tuple[int, int | None, dict[str, Any]]) -> None:
        self.responses = list(responses)
        self.sent: list[exchanges.Request] = []

    async def fetch(
        self, address: str, request: exchanges.Request, timeout: float, max_bytes: int
    ) -> exchanges.Response:
        self.sent.append(request)
        status, era, body = self.responses.pop(0)
        headers = [] if era is None else [(names.STORE_ERA.lower(), str(era))]
        return exchanges.Response(exchanges.Head(status, '', headers), json.dumps(body).encode())


def run(
    pool: Pool, check: Callable[[store.Store], Coroutine[Any, Any, None]], known: int = 0
) -> None:
    """Run a check with a client that has had one answer of a timeline, if `known` is not 0."""

    async def prepare_and_check() -> None:
        client = store.Store('store:1', cast(connections.Pool, pool))
        if known:
            pool.responses.insert(0, (200, known, {'lease': 1}))
            await client.grant(1.0)
        await check(client)

    asyncio.run(prepare_and_check())


def make_page(key: str, revision: int, truncated: bool = False) -> dict[str, Any]:
    items = [{'private_key': key, 'revision': revision, 'value': ''}]
    return {'items': items, 'store_revision': revision, 'truncated': truncated}


def test_a_listing_of_two_timelines_is_no_listing() -> None:
    """Guards against a full read that began before a return of the store and ended after it."""

    async def check(client: store.Store) -> None:
        with pytest.raises(exceptions.StoreError, match='between two pages'):
            await client.read('')
        assert (await client.read('')).revision == registry.Revision(2, 7)

    pages = [(1, make_page('a', 9, True)), (2, make_page('b', 7)), (2, make_page('a', 7))]
    run(Pool(*((200, era, page) for era, page in pages)), check)


def test_an_answer_of_an_earlier_timeline_is_an_error() -> None:
    """Guards against a listing that was read before a return and arrives after it."""

    async def check(client: store.Store) -> None:
        with pytest.raises(exceptions.StoreError, match='late, of timeline 1'):
            await client.read('')

    run(Pool((200, 1, make_page('a', 9))), check, known=2)


def test_a_watch_that_the_new_timeline_answers_has_lost_the_history() -> None:
    """Guards against missed changes when the counter has passed the number that is watched from."""

    async def check(client: store.Store) -> None:
        with pytest.raises(registry.CompactedError):
            await client.watch('', registry.Revision(1, 9), 0.1)

    run(Pool((200, 2, {'events': [], 'store_revision': 12})), check, known=1)


def test_leases_of_an_earlier_timeline_are_neither_renewed_nor_ended() -> None:
    """Guards against calls for a lease id that was given out again."""

    async def check(client: store.Store) -> None:
        lease = registry.Lease(1, 5)
        with pytest.raises(registry.LeaseExpiredError):
            await client.renew(lease)
        with pytest.raises(registry.LeaseExpiredError):
            await client.write([registry.Put('k', b'', lease)])
        await client.end(lease)
        assert [r.target for r in pool.sent] == ['/kv-lease']

    pool = Pool()
    run(pool, check, known=2)


def test_a_renewal_that_the_new_timeline_answers_renews_nothing() -> None:
    """Guards against a lease that its holder believes in because somebody else has its id."""

    async def check(client: store.Store) -> None:
        with pytest.raises(registry.LeaseExpiredError):
            await client.renew(registry.Lease(1, 5))

    run(Pool((200, 2, {})), check, known=1)


@pytest.mark.parametrize('revision', [registry.Revision(1, 9), registry.NO_REVISION])
def test_a_write_counts_in_the_timeline_of_its_conditions_only(revision: registry.Revision) -> None:
    """Guards against a condition that holds by chance, as its revision was given out again."""

    async def check(client: store.Store) -> None:
        condition = registry.ExpectedRevision('k', revision)
        writing = client.write([registry.Put('k', b'')], [condition])
        if revision == registry.NO_REVISION:
            assert await writing == registry.Revision(2, 3)
        else:
            with pytest.raises(exceptions.StoreError, match='done in timeline 2'):
                await writing

    run(Pool((200, 2, {'revision': 3})), check, known=1)


def test_a_store_that_names_no_timeline_has_one() -> None:
    async def check(client: store.Store) -> None:
        lease = await client.grant(1.0)
        await client.renew(lease)
        changes = await client.watch('', registry.Revision(0, 9), 0.1)
        assert changes.revision == registry.Revision(0, 12)

    watched = {'events': [], 'store_revision': 12}
    run(Pool((200, None, {'lease': 5}), (200, None, {}), (200, None, watched)), check)


def test_fencing_tokens_rise_with_the_timeline() -> None:
    earlier = registry.Revision(1, 2**39)
    assert earlier.token < registry.Revision(2, 1).token < 2**53
    assert registry.Revision(0, 41).token == 41


ODD_ITEMS: list[dict[str, Any] | int] = [
    {'private_key': 'odd', 'revision': 'two'},
    {'private_key': 'odd', 'revision': 10**30},
    {'private_key': 'odd', 'revision': -1},
    {'private_key': 'odd', 'revision': 2, 'lease': 2**64},
    {'private_key': 'odd', 'revision': 2, 'value': 7},
    {'private_key': 'odd\ud800', 'revision': 2},
    {'private_key': '\udc00\ud800odd', 'revision': 2},
    {'private_key': None, 'revision': 2},
    {'revision': 2},
    7,
]


def make_item(key: str, revision: int) -> dict[str, Any]:
    return {'private_key': key, 'revision': revision, 'value': 'YQ=='}


# Guards against routers that stop following the registry, as one item of a page can't be decoded.
@pytest.mark.parametrize('odd', ODD_ITEMS)
def test_item_that_cannot_be_decoded_hides_no_other(odd: dict[str, Any] | int) -> None:
    items = [make_item('a\U0001f600', 1), odd, make_item('z\\', 3)]

    async def check(client: store.Store) -> None:
        listing = await client.read('')
        assert [item.key for item in listing.items] == ['a\U0001f600', 'z\\']
        changes = await client.watch('', registry.Revision(1, 0), 0.0)
        assert changes.items == listing.items
        assert changes.revision == registry.Revision(1, 3)

    bodies = [{'items': items, 'store_revision': 3}, {'events': items, 'store_revision': 3}]
    run(Pool(*((200, 1, body) for body in bodies)), check)


# Guards against an old record that stays in force once its successor can't be decoded.
@pytest.mark.parametrize('value', ['Y', 'YQ', 'é', '==', 'YQ==' * (store.VALUE_MAX // 4 + 1)])
def test_item_with_an_invalid_value_has_no_content(value: str) -> None:
    async def check(client: store.Store) -> None:
        listing = await client.read('')
        assert listing.items == (registry.Item('a', b'', registry.Revision(1, 2)),)

    items = [{'private_key': 'a', 'revision': 2, 'value': value}]
    run(Pool((200, 1, {'items': items, 'store_revision': 2})), check)


# Guards against a listing without an end.
def test_page_without_a_key_to_continue_after_is_an_error() -> None:
    async def check(client: store.Store) -> None:
        for _ in range(2):
            with pytest.raises(exceptions.StoreError, match='without a key'):
                await client.read('')

    page = {'items': [7], 'store_revision': 2, 'truncated': True}
    pages = [page, make_page('a', 2, True), make_page('a', 2, True)]
    run(Pool(*((200, 1, page) for page in pages)), check)


# Guards against an error that is not expected from calls of the store.
@pytest.mark.parametrize('body', [7, [], {}, {'items': [], 'store_revision': 10**30}])
def test_response_that_cannot_be_decoded_is_an_error_of_the_store(body: Any) -> None:
    async def check(client: store.Store) -> None:
        with pytest.raises(exceptions.StoreError):
            await client.read('')

    run(Pool((200, 1, body)), check)


@pytest.mark.parametrize('era', ['9' * 5000, '-1', '1.5', '²', '٣', ''])
def test_timeline_that_is_no_number_is_an_error_of_the_store(era: Any) -> None:
    async def check(client: store.Store) -> None:
        with pytest.raises(exceptions.StoreError, match='invalid'):
            await client.read('')

    run(Pool((200, era, make_page('a', 2))), check)
