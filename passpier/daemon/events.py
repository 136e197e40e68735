"""Receives cache events from engines over ZeroMQ and updates the cache view."""

from __future__ import annotations

import asyncio
import logging

import zmq
import zmq.asyncio

from passpier import clocks, exceptions
from passpier.clients import kvevents
from passpier.config import declarations, directory
from passpier.core import cache_events, cache_view
from passpier.daemon import metrics, upstreams

log = logging.getLogger(__name__)

REPLAY_TIMEOUT = 1.0
"""Seconds to wait for a replay, which does not delay routing."""

MAX_AGE = 1.0
"""Seconds after which an event no longer adds blocks, as many of them are evicted by then."""


class Events:
    """Subscriptions to the engines that publish cache events, one each."""

    def __init__(self, known_upstreams: upstreams.Upstreams, counters: metrics.Metrics) -> None:
        self._upstreams = known_upstreams
        self._counters = counters
        self._context = zmq.asyncio.Context()
        self._tasks: dict[str, tuple[str, asyncio.Task[None]]] = {}

    def apply(self, config: directory.Directory) -> None:
        """Subscribe to the engines of a configuration, and cancel other subscriptions."""
        publishing = {}
        for pool in config.fleet.pools:
            model = config.find_model_of_pool(pool.name)
            for upstream in pool.upstreams:
                if upstream.events and model is not None:
                    publishing[upstream.name] = (upstream, model)
        for name in list(self._tasks):
            if name not in publishing or publishing[name][0].events != self._tasks[name][0]:
                self._tasks.pop(name)[1].cancel()
        for name, (upstream, model) in publishing.items():
            if name not in self._tasks:
                task = asyncio.ensure_future(self._follow(upstream, model))
                self._tasks[name] = (upstream.events or '', task)

    def close(self) -> None:
        """Cancel all subscriptions."""
        for _, task in self._tasks.values():
            task.cancel()
        self._context.destroy(linger=0)

    async def _follow(self, upstream: declarations.Upstream, model: declarations.Model) -> None:
        socket = self._context.socket(zmq.SUB)
        socket.linger = 0
        socket.subscribe(kvevents.TOPIC_PREFIX)
        socket.connect(f'tcp://{upstream.events}')
        feed = Feed(upstream, model, self._upstreams)
        try:
            while True:
                frames = await socket.recv_multipart()
                try:
                    topic, sequence, payload = kvevents.parse_frames(frames)
                except exceptions.DecodingError as error:
                    _log_invalid(upstream.name, error)
                    continue
                self._counters.control_bytes.add({'channel': 'events'}, len(payload))
                missing = feed.receive_batch(topic, int.from_bytes(sequence, 'big'), payload)
                if missing is not None and upstream.replay:
                    await self._replay(feed, upstream.replay, missing)
        finally:
            socket.close()

    async def _replay(self, feed: Feed, address: str, start: int) -> None:
        socket = self._context.socket(zmq.DEALER)
        socket.linger = 0
        socket.connect(f'tcp://{address}')
        key = feed.key
        try:
            async with asyncio.timeout(REPLAY_TIMEOUT):
                await socket.send_multipart([b'', start.to_bytes(8, 'big')])
                while True:
                    frames = await socket.recv_multipart()
                    _, sequence, payload = kvevents.parse_frames(frames)
                    if sequence == kvevents.REPLAY_END:
                        return
                    # Events after the gap are applied again as well, to keep the order.
                    feed.apply(key, payload)
        except TimeoutError:
            log.debug('no replay', extra={'upstream': feed.name})
        except exceptions.DecodingError as error:
            _log_invalid(feed.name, error)
        finally:
            socket.close()


class Feed:
    """The events of one engine."""

    def __init__(
        self,
        upstream: declarations.Upstream,
        model: declarations.Model,
        known_upstreams: upstreams.Upstreams,
    ) -> None:
        self.name = upstream.name
        self._model = model
        self._upstreams = known_upstreams
        self.key = ''
        self._translator = cache_events.Translator(model.name, '', model.block_tokens)
        self.next_sequence = 0

    def receive_batch(self, topic: bytes, sequence: int, payload: bytes) -> int | None:
        """Apply a batch; return the first missing sequence number if earlier batches were lost."""
        replica = self._upstreams.replicas.get(self.name)
        incarnation, _ = kvevents.parse_topic(topic)
        if replica is None or not incarnation or incarnation != replica.incarnation:
            return None
        key = f'{incarnation}/{replica.weight_version}'
        if key != self.key:
            self._begin(key, replica.weight_version, sequence)
        missing = self.next_sequence if sequence > self.next_sequence else None
        if missing is not None:
            self._upstreams.cache.note_gap(self.name, key)
        self.next_sequence = max(self.next_sequence, sequence + 1)
        self.apply(key, payload)
        return missing

    def apply(self, key: str, payload: bytes) -> None:
        """Apply the events of one batch."""
        try:
            batch = kvevents.decode_batch(payload)
        except exceptions.DecodingError as error:
            _log_invalid(self.name, error)
            return
        # Events arrive late, and describe the cache at the time when they were created.
        age = max(0.0, clocks.read_time_of_day() - batch.ts)
        for event in batch.events:
            try:
                self._apply_event(key, event, age)
            except OverflowError as error:
                # The decoder doesn't check each token, of which there are many.
                _log_invalid(self.name, error)

    def _apply_event(self, key: str, event: kvevents.Event, age: float) -> None:
        created_at = clocks.now() - age
        cache = self._upstreams.cache
        if isinstance(event, kvevents.BlockStored):
            chain = self._translator.store(_read_stored(event))
            if age <= MAX_AGE:
                cache.add(self.name, key, chain, cache_view.Evidence.EVENT, created_at)
        elif isinstance(event, kvevents.BlockRemoved):
            for block in self._translator.remove(event.block_hashes):
                cache.remove(self.name, key, block, created_at)
        else:
            self._translator.clear()
            cache.clear(self.name, key)

    def _begin(self, key: str, version: str, sequence: int) -> None:
        self.key = key
        self._translator = cache_events.Translator(
            self._model.name, version, self._model.block_tokens
        )
        self.next_sequence = sequence


def _log_invalid(upstream: str, error: Exception) -> None:
    log.warning('invalid cache events', extra={'upstream': upstream, 'error': str(error)})


def _read_stored(event: kvevents.BlockStored) -> cache_events.Stored:
    keys = event.extra_keys[0] if event.extra_keys else None
    return cache_events.Stored(
        event.block_hashes,
        event.parent_block_hash,
        event.token_ids,
        event.block_size,
        keys[0] if keys else '',
        event.lora_name or '',
    )
