"""A model of an inference engine with chunked prefill, batched decoding and a bounded cache.

It follows the platform's documentation of engines: requests run in batches; a step takes longer the
more of them run; prompts are prefilled in chunks, the most urgent first; running requests and
cached parts share one memory, from which the least recently used parts are evicted; parts can be
fetched from another engine, over links that carry one transfer at a time.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import heapq
import itertools
from collections.abc import Sequence

MAX_QUEUE_PER_SLOT = 3
"""Requests that may be queued for each slot; further ones are refused as not run."""

TOKEN_BYTES = 18_432
"""Bytes of cache memory for each token."""


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpec:
    """The capacity and speed of an engine; times are in seconds."""

    slots: int = 24
    step: float = 0.00309
    step_per_slot: float = 0.000102
    prefill_rate: float = 56_900.0
    """Prefilled prompt tokens a second."""

    chunk_tokens: int = 4096
    memory_tokens: int = 93_066
    """Tokens of running requests and cached parts together."""

    link_rate: float = 550e9 / 8
    """Bytes a second of transfers between engines."""

    load_seconds: float = 0.76
    """Seconds that loading new weights takes."""

    event_tokens: int = 1
    """Tokens in each event of a stream, except the first event."""


class FullError(Exception):
    """The engine refused a request because its queue is full or it is loading weights."""


@dataclasses.dataclass(slots=True)
class Run:
    """A request on an engine."""

    parts: Sequence[tuple[str, int]]
    output: int
    priority: int
    source: Engine | None
    first_token: asyncio.Future[float]
    """Resolved with the time of the first token."""

    ended: asyncio.Future[float]
    prefill_left: int = 0
    generated: int = 0
    reserved: int = 0
    ready_at: float = 0.0
    last_event_at: float = 0.0
    """Time of the last event."""

    longest_pause: float = 0.0
    """Longest time between two events, in seconds."""

    @property
    def tokens(self) -> int:
        """Length of the prompt in tokens."""
        return sum(size for _, size in self.parts)


class Engine:
    """A simulated engine with counters of its prefilled, cached and transferred tokens."""

    def __init__(self, name: str, domain: str, spec: EngineSpec) -> None:
        self.name = name
        self.domain = domain
        self.spec = spec
        self.prefilled_tokens = 0
        self.cached_tokens = 0
        self.transfers = 0
        self.refused = 0
        self.prefill_seconds = 0.0
        """Seconds spent on prefill."""

        self._cache: collections.OrderedDict[str, int] = collections.OrderedDict()
        self._cached = 0
        self._reserved = 0
        self._queue: list[tuple[int, int, Run]] = []
        self._numbers = itertools.count()
        self._running: list[Run] = []
        self._stepping = False
        self._link_free_at = 0.0
        self._loading = False

    def submit(self, run: Run) -> None:
        """Queue a request; raises `FullError`."""
        if self._loading or len(self._queue) >= MAX_QUEUE_PER_SLOT * self.spec.slots:
            self.refused += 1
            raise FullError
        heapq.heappush(self._queue, (run.priority, next(self._numbers), run))
        self._wake()

    def count_cached(self, parts: Sequence[tuple[str, int]]) -> int:
        """Return the number of leading parts that are cached."""
        return sum(1 for _ in itertools.takewhile(lambda p: p[0] in self._cache, parts))

    async def load(self) -> None:
        """Load new weights: refuse requests meanwhile, and clear the cache."""
        self._loading = True
        while self._running:
            await asyncio.sleep(0.01)
        await asyncio.sleep(self.spec.load_seconds)
        self._cache.clear()
        self._cached = 0
        self._loading = False
        self._wake()

    def _wake(self) -> None:
        if not self._stepping:
            self._stepping = True
            asyncio.get_running_loop().call_soon(self._step)

    def _step(self) -> None:
        loop = asyncio.get_running_loop()
        self._admit(loop.time())
        if not self._running:
            self._stepping = False
            return
        budget = self.spec.chunk_tokens
        read: list[tuple[Run, int]] = []
        for run in sorted(self._running, key=lambda r: r.priority):
            if run.prefill_left and run.ready_at <= loop.time() and budget:
                piece = min(budget, run.prefill_left)
                read.append((run, piece))
                budget -= piece
        tokens = self.spec.chunk_tokens - budget
        self.prefill_seconds += tokens / self.spec.prefill_rate
        seconds = (
            self.spec.step
            + self.spec.step_per_slot * len(self._running)
            + tokens / self.spec.prefill_rate
        )
        loop.call_later(seconds, self._finish_step, read)

    def _finish_step(self, read: list[tuple[Run, int]]) -> None:
        now = asyncio.get_running_loop().time()
        for run in self._running:
            if not run.prefill_left and run.ready_at <= now:
                self._emit_token(run, now)
        for run, piece in read:
            run.prefill_left -= piece
            self.prefilled_tokens += piece
            if not run.prefill_left:
                self._emit_token(run, now)
        for run in [r for r in self._running if r.generated >= r.output]:
            self._end(run, now)
        self._step()

    def _emit_token(self, run: Run, now: float) -> None:
        run.generated += 1
        if not run.first_token.done():
            run.first_token.set_result(now)
            run.last_event_at = now
        elif run.generated % self.spec.event_tokens == 0 or run.generated >= run.output:
            run.longest_pause = max(run.longest_pause, now - run.last_event_at)
            run.last_event_at = now

    def _end(self, run: Run, now: float) -> None:
        self._running.remove(run)
        self._reserved -= run.reserved
        for part, size in run.parts:
            self._cache_part(part, size)
        if not run.ended.done():
            run.ended.set_result(now)

    def _admit(self, now: float) -> None:
        while self._queue and len(self._running) < self.spec.slots:
            run = self._queue[0][2]
            needed = run.tokens + run.output
            if self._reserved + needed > self.spec.memory_tokens and self._running:
                return
            heapq.heappop(self._queue)
            self._begin(run, needed, now)

    def _begin(self, run: Run, needed: int, now: float) -> None:
        held = self.count_cached(run.parts)
        for part, _ in run.parts[:held]:
            self._cache.move_to_end(part)
        run.ready_at = now
        if run.source is not None and run.source is not self:
            fetched = self._fetch(run, held, now)
            held += fetched
        found = sum(size for _, size in run.parts[:held])
        self.cached_tokens += found
        run.prefill_left = max(1, run.tokens - found)
        run.reserved = needed
        self._reserved += needed
        self._evict()
        self._running.append(run)

    def _fetch(self, run: Run, held: int, now: float) -> int:
        """Start the transfer of the parts that only the source has; return their number."""
        assert run.source is not None
        there = run.source.count_cached(run.parts)
        if there <= held:
            run.ready_at = now + 0.001
            return 0
        tokens = sum(size for _, size in run.parts[held:there])
        seconds = tokens * TOKEN_BYTES / self.spec.link_rate
        if run.source.domain != self.domain:
            seconds *= 2
        begins = max(now, self._link_free_at, run.source._link_free_at)
        run.ready_at = begins + seconds
        self._link_free_at = run.source._link_free_at = run.ready_at
        self.transfers += 1
        return there - held

    def _cache_part(self, part: str, size: int) -> None:
        if part not in self._cache:
            self._cache[part] = size
            self._cached += size
        self._cache.move_to_end(part)
        self._evict()

    def _evict(self) -> None:
        while self._cache and self._cached + self._reserved > self.spec.memory_tokens:
            _, size = self._cache.popitem(last=False)
            self._cached -= size
