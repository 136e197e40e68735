"""Stand-in for an inference engine: OpenAI-style API, a block cache and a time model.

Generated text depends only on all text before it, as with greedy decoding, so that a continuation
on another engine can be checked byte by byte.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
from typing import Any

import tornado.iostream
import zmq
import zmq.asyncio

from passpier.core import blocks
from passpier.standins import cache as block_cache
from passpier.standins import common, scheduler

CRASH_DELAY = 0.02
"""Seconds between the start of a run that crashes its engine and the crash."""


class EngineHandler(common.Handler):
    """Base handler of the engine's API."""

    engine: scheduler.Engine

    def set_report_headers(self) -> None:
        """Add the engine's identity and load, which saves callers a separate report."""
        report = self.engine.report()
        self.set_header('X-Engine-Incarnation', report['incarnation'])
        version = self.faults.options.get('answer_version') or report['weight_version']
        self.set_header('X-Weight-Version', version)
        self.set_header(
            'X-Engine-Load', f'{report["running"]},{report["waiting"]},{report["backlog"]}'
        )

    async def send_pieces(self, stream: scheduler.Stream, offset: int) -> None:
        """Stream pieces from `offset` on, then the usage and the end marker."""
        self.set_header('Content-Type', 'text/event-stream')
        self.set_report_headers()
        position = offset
        try:
            while True:
                changed = stream.changed
                while position < len(stream.pieces):
                    await self._send_piece(stream, position)
                    position += 1
                if stream.done:
                    break
                if stream.cancelled or self.faults.drop:
                    self.drop_connection()
                await changed.wait()
            self._write_chunk(stream, position, '', 'length')
            self.write('data: [DONE]\n\n')
            await self.flush()
        except tornado.iostream.StreamClosedError:
            return

    async def _send_piece(self, stream: scheduler.Stream, position: int) -> None:
        options = self.faults.options
        if options.get('cut_at') == position:
            options['cut_at'] = None
            self.drop_connection()
        if options.get('skip_at') == position:
            options['skip_at'] = None
            return
        if options.get('cross_at') == position:
            options['cross_at'] = None
            self._write_chunk(stream, position, ' BAD', None, id='another')
        self._write_chunk(stream, position, stream.pieces[position], None)
        if options.get('double_at') == position:
            options['double_at'] = None
            self._write_chunk(stream, position, stream.pieces[position], None)
        await self.flush()

    def _write_chunk(
        self, stream: scheduler.Stream, sequence: int, text: str, finish: str | None, id: str = ''
    ) -> None:
        choice: dict[str, Any] = {'index': 0, 'text': text, 'finish_reason': finish}
        if 'chat' in self.request.path or self.get_argument('chat', ''):
            choice = {'index': 0, 'delta': {'content': text}, 'finish_reason': finish}
        chunk: dict[str, Any] = {
            'id': id or stream.id,
            'sequence': sequence,
            'model': self.engine.arguments.model,
            'choices': [choice],
        }
        if finish:
            prompt_tokens = blocks.count_tokens(stream.prompt)
            cached = stream.cached * self.engine.arguments.block_tokens
            chunk['usage'] = {
                'prompt_tokens': prompt_tokens,
                'completion_tokens': len(stream.pieces),
                'total_tokens': prompt_tokens + len(stream.pieces),
                'prompt_tokens_details': {'cached_tokens': cached},
            }
        self.write(f'data: {json.dumps(chunk)}\n\n')


class Completion(EngineHandler):
    """`POST /v1/completions` and `/v1/chat/completions`."""

    async def post(self) -> None:
        """Generate and stream a completion."""
        body = self.get_body()
        expected = self.request.headers.get('X-Weight-Version', '')
        refuses = self.faults.refuse or self.engine.loading
        if refuses or (expected and expected != self.engine.version):
            self.set_status(503 if refuses else 412)
            self.set_header('X-Outcome', 'not_run')
            self.set_report_headers()
            self.write({'error': {'message': 'refused', 'type': 'refused'}})
            return
        stream = self._build_stream(body)
        self.engine.submit(stream)
        deadly = self.faults.options.get('deadly')
        if deadly and deadly.encode() in stream.raw_prompt:
            await asyncio.sleep(CRASH_DELAY)
            self.engine.totals['ended'] += 1
            self.engine.reset()
            self.drop_connection()
        await self.send_pieces(stream, 0)

    def _build_stream(self, body: dict[str, Any]) -> scheduler.Stream:
        prompt = body.get('prompt')
        if prompt is None:
            prompt = render_chat(body['messages'], bool(body.get('continue_final_message')))
        data = block_cache.encode_prompt(prompt)
        raw = prompt.encode() if isinstance(prompt, str) else data
        salt = body.get('cache_salt', '')
        arguments = self.engine.arguments
        scope = blocks.Scope(salt, arguments.model, self.engine.version, body.get('model', ''))
        chain = blocks.compute_chain(blocks.compute_root(scope), data, arguments.block_tokens)
        return scheduler.Stream(
            self.request.headers.get('X-Request-Id') or os.urandom(8).hex(),
            data,
            raw,
            salt,
            int(body.get('max_tokens', 16)),
            int(body.get('priority', 1)),
            chain,
        )


class Resume(EngineHandler):
    """`GET /v1/streams/ID?offset=N` and `POST /v1/streams/ID/cancel`."""

    async def get(self, id: str) -> None:
        """Resume a stream from an offset."""
        stream = self.engine.streams.get(id)
        if stream is None or stream.cancelled:
            self.send_error(404)
            return
        await self.send_pieces(stream, int(self.get_argument('offset', '0')))

    def post(self, id: str) -> None:
        """Cancel a stream."""
        stream = self.engine.streams.get(id)
        if stream is not None and not stream.done:
            stream.cancelled = True
            stream.wake()
            self.engine.totals['cancelled'] += 1
        self.write({'cancelled': stream is not None})


class Load(EngineHandler):
    """`GET /load`: the load report, delayed by the lag."""

    def get(self) -> None:
        """Answer with the report."""
        self.write(self.engine.report())


class Wanted(EngineHandler):
    """`PUT /wanted`: an order with the desired state."""

    async def put(self) -> None:
        """Execute the order; refuse an older fencing number if this engine checks them."""
        body = self.get_body()
        if self.engine.arguments.checks_fencing and body['fence'] < self.engine.fence:
            self.set_status(409)
            self.write({'fence': self.engine.fence})
            return
        self.engine.fence = max(self.engine.fence, body['fence'])
        self.engine.orders.append(body)
        if body['weight_version'] != self.engine.version:
            await self.engine.finish_running()
            await asyncio.sleep(float(self.faults.options.get('load_seconds', 0.0)))
            self.engine.version = body['weight_version']
            self.engine.cache.clear()
            self.engine.reset()
            self.engine.loading = False
        self.drop_lost_answer()
        self.write(self.engine.describe())


class Counters(EngineHandler):
    """`GET /_counters`: runs by request id and totals, which tests check."""

    async def prepare(self) -> None:
        """Ignore all faults."""

    def get(self) -> None:
        """Return the counters."""
        engine = self.engine
        self.write(
            {
                'runs': dict(engine.runs),
                'totals': dict(engine.totals),
                'active': sum(not s.done and not s.cancelled for s in engine.streams.values()),
                'orders': engine.orders,
                **engine.describe(),
            }
        )

    def post(self) -> None:
        """Crash and restart empty, or announce that the engine is leaving."""
        body = self.get_body()
        if body.get('crash'):
            self.engine.reset()
        self.engine.leaving = bool(body.get('leaving', self.engine.leaving))
        self.write({})


def render_chat(messages: list[dict[str, Any]], continued: bool) -> str:
    """Return the prompt text of chat messages, as rendered by the chat template."""
    text = ''.join(f'<|{m["role"]}|>{m["content"]}' for m in messages)
    return text if continued else text + '<|assistant|>'


def parse_arguments() -> argparse.Namespace:
    """Return the parsed command line."""
    parser = common.build_parser('standin-engine')
    parser.add_argument('--model', default='advisory-7b')
    parser.add_argument('--weight-version', default='v1')
    parser.add_argument('--prefill-rate', type=float, default=40_000.0, help='tokens per second')
    parser.add_argument('--decode-ms', type=float, default=2.0)
    parser.add_argument('--slots', type=int, default=8)
    parser.add_argument('--cache-blocks', type=int, default=2000)
    parser.add_argument('--block-tokens', type=int, default=64)
    parser.add_argument('--load-lag', type=float, default=0.1, help='seconds')
    parser.add_argument('--events-port', type=int, default=0)
    parser.add_argument('--replay-port', type=int, default=0)
    parser.add_argument('--checks-fencing', action='store_true')
    return parser.parse_args()


async def run(arguments: argparse.Namespace) -> None:
    """Serve until SIGTERM or SIGINT."""
    faults = common.Faults()
    engine = scheduler.Engine(arguments, faults)
    context = zmq.asyncio.Context()
    publisher = context.socket(zmq.PUB)
    router = context.socket(zmq.ROUTER)
    for socket, port in ((publisher, arguments.events_port), (router, arguments.replay_port)):
        socket.linger = 0
        if port:
            socket.bind(f'tcp://{arguments.ip}:{port}')
    loop = asyncio.get_running_loop()
    jobs = [engine.schedule(), engine.sample(), engine.publish(publisher), engine.replay(router)]
    tasks = [loop.create_task(job) for job in jobs]
    state = {'faults': faults, 'engine': engine}
    routes = [
        ('/v1/completions', Completion, state),
        ('/v1/chat/completions', Completion, state),
        ('/v1/streams/([^/]+)', Resume, state),
        ('/v1/streams/([^/]+)/cancel', Resume, state),
        ('/load', Load, state),
        ('/wanted', Wanted, state),
        ('/_counters', Counters, state),
    ]
    await common.serve(routes, faults, arguments.port, arguments.ip)
    for task in tasks:
        task.cancel()
    context.destroy(linger=0)


def main() -> None:
    """Run the stand-in."""
    asyncio.run(run(parse_arguments()))


if __name__ == '__main__':
    main()
