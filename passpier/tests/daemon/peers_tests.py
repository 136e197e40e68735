"""Sending the last messages at exit.

Several processes may stop at the same time, so that messages wait for dead peers. This must not
block the event loop, as there may be requests to answer.
"""

from __future__ import annotations

import asyncio

import pytest
import zmq

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


class Inbox:
    """A receiving process and a raw sender to it."""

    def __init__(self) -> None:
        self.received: list[str] = []
        self.peers = peers.Peers('own', '127.0.0.1', 0, metrics.Metrics())
        self.peers.register_handler(messages.Goodbye, self._note)
        self._context = zmq.Context()
        self._outbox = self._context.socket(zmq.PUSH)
        self._outbox.linger = 0
        self._outbox.connect(f'tcp://{self.peers.address}')

    def push(self, data: bytes) -> None:
        self._outbox.send(data)

    def push_goodbye(self, incarnation: str, sender: str = '127.0.0.1:1') -> None:
        envelope = messages.Envelope('x', sender, messages.Goodbye(incarnation))
        self.push(messages.encode(envelope))

    async def receive(self, count: int) -> None:
        """Wait until that many messages have been handled."""
        receiving = asyncio.ensure_future(self.peers.run())
        try:
            async with asyncio.timeout(5):
                while len(self.received) < count:
                    await asyncio.sleep(0.005)
        finally:
            receiving.cancel()
            self._outbox.close()
            self._context.term()
            self.peers.close()

    def _note(self, sender: str, address: str, message: messages.Goodbye) -> None:
        self.received.append(message.incarnation)
        if message.incarnation == 'failing':
            raise LookupError('failing')
        self.peers.send(address, message)


# Guards against messages that stay in the queue behind one that can't be decoded.
def test_messages_that_cannot_be_decoded_are_skipped() -> None:
    async def run() -> None:
        inbox = Inbox()
        inbox.push_goodbye('a')
        whole = messages.encode(messages.Envelope('x', '127.0.0.1:1', messages.Goodbye('deep')))
        with_deep_field = b'\x94' + whole[1:] + b'\x91' * 100_000 + b'\xc0'
        for data in (b'', b'\xc1', whole[:-1], with_deep_field):
            inbox.push(data)
        inbox.push_goodbye('b')
        await inbox.receive(2)
        assert inbox.received == ['a', 'b']

    asyncio.run(run())


# Guards against messages that stay in the queue behind one whose handler fails.
def test_messages_behind_one_whose_handler_fails_are_handled() -> None:
    async def run() -> None:
        inbox = Inbox()
        for incarnation in ('a', 'failing', 'b', 'c'):
            inbox.push_goodbye(incarnation)
        await inbox.receive(4)
        assert inbox.received == ['a', 'failing', 'b', 'c']

    asyncio.run(run())


# Guards against a sender's address that the transport refuses.
@pytest.mark.parametrize('address', ['', 'x', ':', '127.0.0.1:0', '127.0.0.1:65536', 'a\0b:1'])
def test_response_to_an_invalid_address_is_dropped(address: str) -> None:
    async def run() -> None:
        inbox = Inbox()
        inbox.push_goodbye('a', address)
        inbox.push_goodbye('b', address)
        await inbox.receive(2)

    asyncio.run(run())
