"""Sending the last messages at exit.

Several processes may stop at the same time, so that messages wait for dead peers. This must not
block the event loop, as there may be requests to answer.
"""

from __future__ import annotations

import asyncio

from passpier.daemon import messages, metrics, peers
from passpier.standins import processes


def test_flushing_messages_to_a_dead_peer_does_not_block() -> None:
    async def run() -> None:
        ending = peers.Peers('ending', '127.0.0.1', 0, metrics.Metrics())
        ending.send(f'127.0.0.1:{processes.pick_port()}', messages.Goodbye('ending'))
        turns = 0

        async def count_turns() -> None:
            nonlocal turns
            while True:
                turns += 1
                await asyncio.sleep(0.001)

        counting = asyncio.ensure_future(count_turns())
        await asyncio.sleep(0)
        before = turns
        await ending.flush()
        ending.close()
        counting.cancel()
        assert turns > before

    asyncio.run(run())


def test_flushed_messages_arrive() -> None:
    async def run() -> None:
        ending = peers.Peers('ending', '127.0.0.1', 0, metrics.Metrics())
        staying = peers.Peers('staying', '127.0.0.1', 0, metrics.Metrics())
        received = asyncio.Event()
        staying.register_handler(messages.Goodbye, lambda *_: received.set())
        receiving = asyncio.ensure_future(staying.run())
        ending.send(staying.address, messages.Goodbye('ending'))
        await ending.flush()
        ending.close()
        await received.wait()
        receiving.cancel()
        staying.close()

    asyncio.run(asyncio.wait_for(run(), 20))
