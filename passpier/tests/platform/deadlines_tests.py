"""Responses at the deadline of a request, also if the event loop is late.

Guards against an event loop that gets no processor time while a deadline passes and then closes the
connection: the client must get a response or an error, as a closed connection tells it nothing.
"""

from __future__ import annotations

import asyncio
import pathlib
import signal

import pytest

from passpier.standins.platform import deployment, routers
from passpier.tests.platform import harness


async def pause_process(process: routers.RouterProcess) -> None:
    """Stop a process from 0.8 to 1.4 s from now."""
    await asyncio.sleep(0.8)
    process.send(signal.SIGSTOP)
    await asyncio.sleep(0.6)
    process.send(signal.SIGCONT)


def test_late_event_loop_closes_no_connection_without_a_response(tmp_path: pathlib.Path) -> None:
    """The loop is late by more than the grace period for responses when a deadline passes."""

    async def check(running: deployment.Deployment, process: routers.RouterProcess) -> None:
        harness.set_processing_time(running, 20.0)
        pending = asyncio.ensure_future(
            running.ask_at(process.caller, '/once/x', 'one', patience_ms=1000)
        )
        await harness.wait_for(lambda: bool(running.list_runs('one')))
        await pause_process(process)
        assert (await pending).status == 504

    harness.run_process_check(tmp_path, check)


def test_response_that_arrived_while_the_loop_was_late_is_delivered(tmp_path: pathlib.Path) -> None:
    async def check(running: deployment.Deployment, process: routers.RouterProcess) -> None:
        harness.set_processing_time(running, 0.9)
        pending = asyncio.ensure_future(
            running.ask_at(process.caller, '/once/x', 'one', patience_ms=1000)
        )
        await harness.wait_for(lambda: bool(running.list_runs('one')))
        await pause_process(process)
        assert (await pending).status in (200, 504)

    harness.run_process_check(tmp_path, check)


@pytest.mark.parametrize('others', ['draining', 'recorded'])
def test_slow_stream_is_moved_only_if_another_replica_can_resume_it(others: str) -> None:
    """An overloaded replica pauses for longer than a healthy one ever does, and then continues."""

    async def check(running: deployment.Deployment) -> None:
        running.configure(
            routes=[{**r, 'timeout_ms': 9000} for r in running.configuration['routes']]
        )
        await running.wait_settled()
        models = [replica for replica in running.replicas.values() if replica.model]
        for replica in models:
            replica.event_pause = 1.3
            replica.event_count = 3
        pending = asyncio.ensure_future(
            running.ask('/resume/x', id='one', patience_ms=9000, headers=harness.PROMPT_HEADERS)
        )
        await harness.wait_for(lambda: bool(running.list_runs('one')))
        if others == 'draining':
            for replica in models:
                if not replica.runs:
                    running.remove_entry(replica.id)
        assert (await pending).status == 200
        assert len(running.list_runs('one')) == (1 if others == 'draining' else 2)

    harness.run_check(check)
