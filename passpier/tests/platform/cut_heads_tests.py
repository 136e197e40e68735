"""Replicas that stop within the head of a response and close: no client may get a success."""

from __future__ import annotations

import asyncio

import pytest

from passpier.platform import names
from passpier.standins.platform import deployment, partitions
from passpier.tests.platform import harness

CUT_STEP = 7
"""Bytes from one cut to the next."""

HEAD = '\r\n'.join(
    [
        'HTTP/1.1 200 OK',
        f'{names.REQUEST_ID}: one',
        f'{names.SERVER_STAMP}: stamp',
        'Content-Type: text/event-stream',
        'Content-Length: 0',
        '',
        '',
    ]
).encode()


async def find_successes(running: deployment.Deployment, path: str) -> list[bytes]:
    """Return the cut heads for which a client of the first router gets a success."""
    headers = harness.PROMPT_HEADERS if path in ('/stream/x', '/resume/x') else []
    successes = []
    for length in range(0, len(HEAD), CUT_STEP):
        for target in running.replicas.values():
            target.faults.partial = HEAD[:length]
        reply = await running.ask(path, id='one', headers=headers)
        if reply.status < 300:
            successes.append(HEAD[:length])
    return successes


# Guards against a success with an empty body when a replica stops within the head of its response.
@pytest.mark.parametrize('path', ['/safe/x', '/once/x', '/stream/x', '/resume/x'])
def test_head_that_is_cut_is_never_a_success(path: str) -> None:
    async def check(running: deployment.Deployment) -> None:
        assert await find_successes(running, path) == []
        assert any(target.arrivals for target in running.replicas.values())

    harness.run_check(check)


@pytest.mark.parametrize('path', ['/safe/x', '/resume/x'])
def test_head_that_is_cut_in_a_tunnel_is_never_a_success(path: str) -> None:
    async def check(running: deployment.Deployment) -> None:
        running.cut_off('vm-0', list(running.replicas), partitions.Cut.RESET)
        router = running.routers[0]
        addresses = [target.address for target in running.replicas.values()]
        while any(router.paths.is_direct(address) for address in addresses):
            await running.ask('/safe/x')
            await running.ask('/resume/x', headers=harness.PROMPT_HEADERS)
        for target in running.replicas.values():
            target.arrivals.clear()
        assert await find_successes(running, path) == []
        assert any(target.arrivals for target in running.replicas.values())

    harness.run_check(check, routers=2)


# Guards against half a body as a success: a process is killed within a response without a length,
# and its kernel closes the connection in order.
@pytest.mark.parametrize('path', ['/safe/x', '/once/x'])
def test_body_without_length_does_not_end_with_its_process(path: str) -> None:
    async def check(running: deployment.Deployment) -> None:
        running.age_routers()
        head = HEAD.replace(b'Content-Length: 0\r\n', b'')
        scripts = [[head, *[b'part'] * 100]]
        for target in running.replicas.values():
            target.faults.scripts = scripts
        pending = asyncio.ensure_future(running.ask(path, id='one'))
        await harness.wait_for(lambda: not scripts)
        await asyncio.sleep(0.05)
        first = next(target for target in running.replicas.values() if target.arrivals)
        first.crash(resets=False)
        reply = await pending
        if path == '/safe/x':
            assert (reply.status, reply.body) == (200, b'POST /safe/x 8')
        else:
            assert reply.status == 502

    harness.run_check(check)
