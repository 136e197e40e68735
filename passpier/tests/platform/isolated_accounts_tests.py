"""Accounts that become isolated while requests of others are queued."""

from __future__ import annotations

from typing import Any

import pytest

from passpier.daemon import calls, dispatcher
from passpier.standins.platform import deployment
from passpier.tests.platform import harness

KEY = 'secret-2'
"""A key of an account that isn't isolated."""


# Guards against parts of an account that has become isolated being fetched for another one, whose
# request was queued meanwhile.
def test_request_queued_while_accounts_become_isolated_fetches_none_of_the_parts_before(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def check(running: deployment.Deployment) -> None:
        process = running.routers[0]
        place = process.forwarder.dispatcher.place

        async def ask(id: str) -> str:
            reply = await running.ask('/stream/x', id=id, headers=harness.PROMPT_HEADERS, key=KEY)
            assert reply.status == 200
            (reader,) = [r.id for r in running.replicas.values() if any(x.id == id for x in r.runs)]
            return reader

        async def place_after_change(call: calls.Call, attempt: str, *given: Any) -> Any:
            added = {'name': 'mill', 'api_keys': ['secret-3'], 'isolated': True}
            running.configure(tenants=[*running.configuration['tenants'], added])
            await harness.wait_for(
                lambda: process.registry_state.configuration_version == running.version
            )
            return await place(call, attempt, [first])

        first = await ask('first')
        monkeypatch.setattr(process.forwarder.dispatcher, 'place', place_after_change)
        assert await ask('second') != first
        (before,), (after,) = running.list_runs('first'), running.list_runs('second')
        assert before.salt != after.salt
        assert after.source == ''

    harness.run_check(check)


# Guards against a check of the sources that can never fail.
def test_replica_is_told_to_fetch_parts_of_a_shared_prompt(monkeypatch: pytest.MonkeyPatch) -> None:
    async def check(running: deployment.Deployment) -> None:
        own_dispatcher: dispatcher.Dispatcher = running.routers[0].forwarder.dispatcher
        place = own_dispatcher.place

        async def place_elsewhere(call: calls.Call, attempt: str, *given: Any) -> Any:
            return await place(call, attempt, [first])

        headers = [*harness.PROMPT_HEADERS]
        assert (await running.ask('/stream/x', id='a', headers=headers, key=KEY)).status == 200
        (first,) = [r.id for r in running.replicas.values() if any(x.id == 'a' for x in r.runs)]
        monkeypatch.setattr(own_dispatcher, 'place', place_elsewhere)
        assert (await running.ask('/stream/x', id='b', headers=headers, key=KEY)).status == 200
        (run,) = running.list_runs('b')
        assert run.source == running.replicas[first].address

    harness.run_check(check)
