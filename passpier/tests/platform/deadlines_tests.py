"""What a request gets as its time ends, also from an event loop that is late.

The pattern: a loop that gets no time while the time of a request ends. Its answer or its failure is
due at once; a closed connection tells the client nothing.
"""

from __future__ import annotations

import asyncio
import pathlib
import signal

import pytest

from passpier.standins.platform import deployment, routers
from passpier.tests.platform import scenes


async def stand_still(process: routers.RouterProcess) -> None:
    """Give a process no time from 0.8 to 1.4 s from now."""
    await asyncio.sleep(0.8)
    process.send(signal.SIGSTOP)
    await asyncio.sleep(0.6)
    process.send(signal.SIGCONT)


def test_a_late_event_loop_closes_nothing_without_an_answer(tmp_path: pathlib.Path) -> None:
    """The loop is late by more than the grace for answers, just when a request's time ends."""

    async def check(running: deployment.Deployment, process: routers.RouterProcess) -> None:
        scenes.set_work(running, 20.0)
        asked = asyncio.ensure_future(
            running.ask_at(process.caller, '/once/x', 'one', patience_ms=1000)
        )
        await scenes.wait_for(lambda: bool(running.list_runs('one')))
        await stand_still(process)
        assert (await asked).status == 504

    scenes.play_process(tmp_path, check)


def test_an_answer_that_came_while_the_loop_was_late_is_delivered(tmp_path: pathlib.Path) -> None:
    async def check(running: deployment.Deployment, process: routers.RouterProcess) -> None:
        scenes.set_work(running, 0.9)
        asked = asyncio.ensure_future(
            running.ask_at(process.caller, '/once/x', 'one', patience_ms=1000)
        )
        await scenes.wait_for(lambda: bool(running.list_runs('one')))
        await stand_still(process)
        assert (await asked).status in (200, 504)

    scenes.play_process(tmp_path, check)


@pytest.mark.parametrize('others', ['draining', 'recorded'])
def test_a_slow_stream_is_left_only_if_another_replica_can_go_on(others: str) -> None:
    """A replica under pressure pauses for longer than a healthy one ever does, and goes on."""

    async def check(running: deployment.Deployment) -> None:
        running.configure(
            routes=[{**r, 'timeout_ms': 9000} for r in running.configuration['routes']]
        )
        await running.wait_settled()
        models = [known for known in running.replicas.values() if known.model]
        for known in models:
            known.event_pause = 1.3
            known.events = 3
        asked = asyncio.ensure_future(
            running.ask('/resume/x', id='one', patience_ms=9000, headers=scenes.PROMPT)
        )
        await scenes.wait_for(lambda: bool(running.list_runs('one')))
        if others == 'draining':
            for known in models:
                if not known.runs:
                    running.remove_replica(known.id)
        assert (await asked).status == 200
        assert len(running.list_runs('one')) == (1 if others == 'draining' else 2)

    scenes.play(check)
