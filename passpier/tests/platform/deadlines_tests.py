"""What a request gets as its time ends, also from an event loop that is late.

The pattern: a loop that gets no time while the time of a request ends. Its answer or its failure is
due at once; a closed connection tells the client nothing.
"""

from __future__ import annotations

import asyncio
import pathlib
import signal

from passpier.standins.platform import deployment, routers
from passpier.tests.platform import scenes


def set_work(running: deployment.Deployment, seconds: float) -> None:
    for known in running.replicas.values():
        known.work = seconds


def test_a_late_event_loop_closes_nothing_without_an_answer(tmp_path: pathlib.Path) -> None:
    """The loop is late by more than the grace for answers, just when a request's time ends."""

    async def check(running: deployment.Deployment, process: routers.RouterProcess) -> None:
        set_work(running, 20.0)
        asked = asyncio.ensure_future(
            running.ask_at(process.caller, '/once/x', 'one', patience_ms=1000)
        )
        await scenes.wait_for(lambda: bool(running.list_runs('one')))
        await asyncio.sleep(0.8)
        process.send(signal.SIGSTOP)
        await asyncio.sleep(0.6)
        process.send(signal.SIGCONT)
        assert (await asked).status == 504

    scenes.play_process(tmp_path, check)


def test_an_answer_that_came_while_the_loop_was_late_is_delivered(tmp_path: pathlib.Path) -> None:
    async def check(running: deployment.Deployment, process: routers.RouterProcess) -> None:
        set_work(running, 0.9)
        asked = asyncio.ensure_future(
            running.ask_at(process.caller, '/once/x', 'one', patience_ms=1000)
        )
        await scenes.wait_for(lambda: bool(running.list_runs('one')))
        await asyncio.sleep(0.8)
        process.send(signal.SIGSTOP)
        await asyncio.sleep(0.6)
        process.send(signal.SIGCONT)
        assert (await asked).status in (200, 504)

    scenes.play_process(tmp_path, check)
