"""Scheduler of the stand-in engine: a time model of prefill and decoding with a block cache."""

from __future__ import annotations

import argparse
import asyncio
import collections
import dataclasses
import heapq
import os
import time
from typing import Any

import xxhash
import zmq
import zmq.asyncio

from passpier import clocks
from passpier.clients import kvevents
from passpier.core import blocks
from passpier.standins import cache as block_cache
from passpier.standins import common

STREAM_RETENTION = 10.0
"""Seconds after its end for which a stream can be resumed."""


@dataclasses.dataclass
class Stream:
    """A generation with its pieces so far, and an event for the next one."""

    id: str
    prompt: bytes
    raw_prompt: bytes
    salt: str
    max_tokens: int
    priority: int
    chain: list[int]
    cached: int = 0
    pieces: list[str] = dataclasses.field(default_factory=list)
    done: bool = False
    cancelled: bool = False
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def wake(self) -> None:
        """Notify the readers of a change."""
        self.changed.set()
        self.changed = asyncio.Event()


class Engine:
    """Scheduler, cache and counters of an engine; `reset` starts a new incarnation."""

    def __init__(self, arguments: argparse.Namespace, faults: common.Faults) -> None:
        self.arguments = arguments
        self.faults = faults
        self.version: str = arguments.weight_version
        self.fence = 0
        self.role = 'serve'
        self.leaving = False
        self.loading = False
        self.runs: collections.Counter[str] = collections.Counter()
        self.totals: collections.Counter[str] = collections.Counter()
        self.orders: list[dict[str, Any]] = []
        self.reports: collections.deque[tuple[float, dict[str, Any]]] = collections.deque()
        self.sequence = 0
        self.history: collections.deque[tuple[int, bytes, bytes]] = collections.deque(maxlen=4096)
        self.reset()

    def reset(self) -> None:
        """Start a new incarnation with an empty cache."""
        self.incarnation = os.urandom(6).hex()
        self.cache = block_cache.BlockCache(
            self.arguments.cache_blocks, self.arguments.block_tokens
        )
        for stream in getattr(self, 'streams', {}).values():
            stream.cancelled = True
            stream.wake()
        self.streams: dict[str, Stream] = {}
        self.waiting: list[tuple[int, float, Stream]] = []
        self.running = 0
        self.backlog = 0
        self.work_available = asyncio.Event()

    def submit(self, stream: Stream) -> None:
        """Queue a generation."""
        self.streams[stream.id] = stream
        self.runs[stream.id] += 1
        self.backlog += blocks.count_tokens(stream.prompt)
        heapq.heappush(self.waiting, (stream.priority, clocks.now(), stream))
        self.work_available.set()

    async def schedule(self) -> None:
        """Prefill one prompt at a time while a slot is free."""
        while True:
            if not self.waiting or self.running >= self.arguments.slots or self.faults.frozen:
                self.work_available.clear()
                try:
                    await asyncio.wait_for(self.work_available.wait(), 0.05)
                except TimeoutError:
                    continue
                continue
            _, _, stream = heapq.heappop(self.waiting)
            self.backlog -= blocks.count_tokens(stream.prompt)
            if stream.cancelled:
                continue
            incarnation = self.incarnation
            await self.prefill(stream)
            if incarnation == self.incarnation and not stream.cancelled:
                self.running += 1
                asyncio.get_running_loop().create_task(self.decode(stream, incarnation))

    async def prefill(self, stream: Stream) -> None:
        """Compute the part of the prompt that is not cached."""
        stream.cached = self.cache.count_cached(stream.chain)
        cached_tokens = stream.cached * self.arguments.block_tokens
        tokens = blocks.count_tokens(stream.prompt)
        self.totals['prompt_tokens'] += tokens
        self.totals['cached_tokens'] += cached_tokens
        await asyncio.sleep((tokens - cached_tokens) / self.arguments.prefill_rate)
        if stream.id in self.streams:
            self.cache.store(stream.chain, stream.cached, stream.prompt, stream.salt)

    async def decode(self, stream: Stream, incarnation: str) -> None:
        """Generate one piece for each step."""
        state = xxhash.xxh64(stream.raw_prompt)
        while len(stream.pieces) < stream.max_tokens and not stream.cancelled:
            piece = f' {state.intdigest() % 4096:03x}'
            state.update(piece.encode())
            stream.pieces.append(piece)
            stream.wake()
            await asyncio.sleep(self.arguments.decode_ms / 1000 * (1 + 0.05 * self.running))
            while self.faults.frozen:
                await asyncio.sleep(0.01)
        stream.done = not stream.cancelled
        stream.wake()
        if incarnation == self.incarnation:
            self.running -= 1
            self.work_available.set()
            loop = asyncio.get_running_loop()
            loop.call_later(STREAM_RETENTION, self.streams.pop, stream.id, None)

    async def finish_running(self) -> None:
        """Stop accepting requests and wait for the running ones."""
        self.loading = True
        while any(not s.done and not s.cancelled for s in self.streams.values()):
            await asyncio.sleep(0.01)

    def describe(self) -> dict[str, Any]:
        """Return the current load."""
        return {
            'incarnation': self.incarnation,
            'weight_version': self.version,
            'model': self.arguments.model,
            'running': self.running,
            'waiting': len(self.waiting),
            'backlog': self.backlog,
            'slots': self.arguments.slots,
            'capacity': self.arguments.cache_blocks,
            'leaving': self.leaving,
        }

    async def sample(self) -> None:
        """Record load reports, so that they can be reported with a lag."""
        while True:
            self.reports.append((clocks.now(), self.describe()))
            while len(self.reports) > 2 and self.reports[1][0] <= self.get_report_time():
                self.reports.popleft()
            await asyncio.sleep(0.02)

    def get_report_time(self) -> float:
        """Return the time that the current load report describes."""
        return clocks.now() - self.arguments.load_lag

    def report(self) -> dict[str, Any]:
        """Return the load report with the lag; its identity and leaving flag are current."""
        late = self.reports[0][1] if self.reports else self.describe()
        current = self.describe()
        return {**late, **{k: current[k] for k in ('incarnation', 'weight_version', 'leaving')}}

    async def publish(self, publisher: zmq.asyncio.Socket) -> None:
        """Publish cache events, with the delay and gaps set by the faults."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(0.02)
            events = self.cache.take_events()
            if not events:
                continue
            payload = kvevents.encode_batch(kvevents.Batch(time.time(), events))
            topic = kvevents.build_topic(self.incarnation, self.arguments.model)
            self.history.append((self.sequence, topic, payload))
            frames = [topic, self.sequence.to_bytes(8, 'big'), payload]
            self.sequence += 1
            if self.sequence * 37 % 100 < float(self.faults.options.get('gap_percent', 0)):
                continue
            lag = float(self.faults.options.get('event_lag', 0.0))
            loop.call_later(lag, publisher.send_multipart, frames)

    async def replay(self, router: zmq.asyncio.Socket) -> None:
        """Answer requests to replay events from a sequence number on."""
        while True:
            frames = await router.recv_multipart()
            start = int.from_bytes(frames[-1], 'big')
            for sequence, _, payload in self.history:
                if sequence >= start:
                    await router.send_multipart(
                        [frames[0], b'', sequence.to_bytes(8, 'big'), payload]
                    )
            await router.send_multipart([frames[0], b'', kvevents.REPLAY_END, b''])
