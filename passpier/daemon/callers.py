"""The callers' port: completions, plain services, entries, health and metrics."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import urllib.parse
import uuid
from collections.abc import Awaitable

import msgspec
import tornado.httputil
import tornado.iostream
import tornado.web

from passpier import exceptions
from passpier.clients import engines
from passpier.config import declarations
from passpier.core import drain, entries
from passpier.daemon import call_builder, calls, generation, responses, service

log = logging.getLogger(__name__)

BEARER = 'Bearer '
UNQUOTED_IN_PATHS = "/:@!$&'()*+,;=-._~"
"""Characters that are not quoted in a path."""


class CallerHandler(tornado.web.RequestHandler):
    """Base class of the callers' handlers: authentication, failures and disconnects."""

    def initialize(self, app: service.Service) -> None:
        """Store the daemon's service."""
        self.app = app
        self.id = uuid.uuid4().hex
        self._work: asyncio.Task[None] | None = None
        self._disconnected = False
        self._call: calls.Call | None = None

    def set_default_headers(self) -> None:
        """Set the `Server` header of every response."""
        self.set_header('Server', 'passpier')

    def find_account(self) -> declarations.Account:
        """Return the account of the API key; raises `RequestFailedError` if there is none."""
        config = self.app.fleet.config
        if config is None:
            raise _refuse(
                exceptions.Code.NO_CONFIGURATION, 'this daemon has no configuration yet', 1.0
            )
        header = self.request.headers.get('Authorization', '')
        account = None
        if header.startswith(BEARER):
            account = config.find_account(header[len(BEARER) :])
        if account is None:
            raise _refuse(exceptions.Code.UNAUTHORIZED, 'no or unknown API key')
        return account

    def check_open(self) -> None:
        """Refuse new requests in the last phases of a drain; raises `RequestFailedError`."""
        phase = self.app.get_phase()
        if phase is not drain.Phase.SERVING:
            self.set_header('Connection', 'close')
        if phase in (drain.Phase.CLOSING, drain.Phase.STOPPED):
            message = 'this daemon stops; ask for entries'
            raise calls.make_draining_error(message, exceptions.Outcome.NOT_RUN)

    async def run_guarded(self, work: Awaitable[None]) -> None:
        """Run the request's work as a task that is cancelled when the caller disconnects."""
        self._work = asyncio.ensure_future(self._run_configured(work))
        self.app.requests.add(self)
        try:
            await self._run_work()
            # A drain has to wait for this request until its last byte is sent.
            await self.finish()
        except (asyncio.CancelledError, tornado.iostream.StreamClosedError):
            log.info('caller gone', extra={'request': self.id})
            self.app.count_disconnect()
        finally:
            self.app.requests.discard(self)

    def cancel(self) -> None:
        """Cancel the work because the daemon stops; the caller gets a final response."""
        if self._work is not None:
            self._work.cancel()

    async def _run_configured(self, work: Awaitable[None]) -> None:
        await self.app.fleet.configuration.wait_for_first()
        await work

    async def _run_work(self) -> None:
        assert self._work is not None
        try:
            await self._work
        except calls.RequestFailedError as error:
            self.write_failure(self._qualify_outcome(error.failure))
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if self._disconnected or (task is not None and task.cancelling()):
                raise
            self._write_cancelled()

    def _write_cancelled(self) -> None:
        """Send the final response of a cancelled request, unless one was sent completely."""
        call = self._call
        if call is not None and call.progress.completed and self._headers_written:
            return
        outcome = call.progress.outcome if call else exceptions.Outcome.NOT_RUN
        if self.request.headers.get('Idempotency-Key'):
            # The key may have run before; its home daemon or the store has not answered.
            outcome = exceptions.Outcome.UNKNOWN
        error = calls.make_draining_error('this daemon has stopped before the answer', outcome)
        self.write_failure(error.failure)

    def _qualify_outcome(self, failure: exceptions.Failure) -> exceptions.Failure:
        """Change the outcome to unknown if the key was not looked up, as it may have run before."""
        if self._call is None and self.request.headers.get('Idempotency-Key'):
            return msgspec.structs.replace(failure, outcome=exceptions.Outcome.UNKNOWN)
        return failure

    def on_connection_close(self) -> None:
        """Cancel the work of a caller that has disconnected."""
        self._disconnected = True
        if self._work is not None:
            self._work.cancel()

    def write_failure(self, failure: exceptions.Failure) -> None:
        """Send a failure, as the last event if a stream has started."""
        failure = self.app.complete_failure(failure, self.id)
        body = responses.render_failure(failure)
        if self._headers_written:
            self.write(b'data: ' + msgspec.json.encode(body) + b'\n\n')
            return
        self.set_status(responses.get_status(failure))
        self.set_header('X-Passpier-Outcome', failure.outcome.value)
        self.set_header('X-Request-Id', self.id)
        if failure.retry_after is not None:
            self.set_header('Retry-After', f'{max(1, round(failure.retry_after))}')
        self.write(body)

    def write_response(self, response: responses.Response) -> None:
        """Send a complete response."""
        self.set_status(response.status)
        self.set_header('Content-Type', response.content_type)
        self.set_header('X-Passpier-Outcome', exceptions.Outcome.RAN.value)
        self.set_header('X-Request-Id', self.id)
        if response.repeated:
            self.set_header('X-Passpier-Repeated', '1')
        self.write(response.body)

    def build_call(self, path: str, service_name: str = '') -> calls.Call:
        """Return the validated call of the request; raises `RequestFailedError`."""
        account = self.find_account()
        self.check_open()
        if len(self.request.body) > self.app.fleet.options.max_body:
            raise _refuse(exceptions.Code.BODY_TOO_LARGE, 'the body is too large')
        headers = self.request.headers
        request = call_builder.Request(
            self.id,
            path,
            self.request.body,
            headers.get('Idempotency-Key', ''),
            service_name,
            self.request.method or 'POST',
            headers.get('Content-Type', 'application/json'),
        )
        assert self.app.fleet.config is not None
        built = call_builder.build_call(self.app.fleet.config, account, request)
        if built.is_error():
            raise calls.RequestFailedError(built.error)
        self._call = built.ok
        return built.ok


class CompletionHandler(CallerHandler):
    """`POST /v1/completions` and `POST /v1/chat/completions`."""

    async def post(self) -> None:
        """Send a completion, streamed or as a whole."""
        await self.run_guarded(self._serve())

    async def _serve(self) -> None:
        call = self.build_call(self.request.path)
        if call.progress.repeatable and call.body.get('stream'):
            self.app.check_can_finish(call)
            await self._stream(call)
            return
        response = await self.app.run(call)
        if call.body.get('stream') and response.status == 200:
            await self._replay(call, response)
        else:
            self.write_response(response)

    async def _stream(self, call: calls.Call) -> None:
        async with contextlib.aclosing(self.app.stream(call)) as pieces:
            async for piece in pieces:
                if not self._headers_written:
                    self._start_stream()
                self._write_piece(call, piece)
                await self.flush()
        self.app.count_response(call)

    async def _replay(self, call: calls.Call, response: responses.Response) -> None:
        """Send a stored response, which may not be computed again, as a stream."""
        try:
            text, finish_reason, usage = responses.read_completion(call, response)
        except exceptions.DecodingError as error:
            raise _make_unusable_error() from error
        self._start_stream()
        self._write_piece(call, generation.Piece(text, finish_reason, usage))
        await self.flush()

    def _start_stream(self) -> None:
        self.set_header('Content-Type', 'text/event-stream')
        self.set_header('Cache-Control', 'no-cache')
        self.set_header('X-Request-Id', self.id)

    def _write_piece(self, call: calls.Call, piece: generation.Piece) -> None:
        chunk = responses.render_chunk(call, piece.text, piece.finish_reason)
        if piece.usage is not None:
            chunk['usage'] = msgspec.to_builtins(piece.usage)
        self.write(b'data: ' + msgspec.json.encode(chunk) + b'\n\n')
        if piece.finish_reason is not None:
            self.write(b'data: ' + engines.END_MARK + b'\n\n')


class PlainHandler(CallerHandler):
    """`GET` and `POST /services/NAME/PATH`."""

    async def get(self, name: str, path: str) -> None:
        """Answer a call of a plain service."""
        await self.run_guarded(self._serve(name, path))

    async def post(self, name: str, path: str) -> None:
        """Answer a call of a plain service."""
        await self.run_guarded(self._serve(name, path))

    async def _serve(self, name: str, path: str) -> None:
        # The path is decoded already, so that its encoding can't bypass the rules of the service.
        target = urllib.parse.quote(path, safe=UNQUOTED_IN_PATHS)
        if self.request.query:
            target += '?' + self.request.query
        self.write_response(await self.app.run(self.build_call(target, name)))


class ModelsHandler(CallerHandler):
    """`GET /v1/models`: the model services that the account can use."""

    async def get(self) -> None:
        """Send the list."""
        await self.run_guarded(self._serve())

    async def _serve(self) -> None:
        account = self.find_account()
        assert self.app.fleet.config is not None
        services = [
            s
            for s in self.app.fleet.config.fleet.services
            if s.kind == 'model' and (not account.services or s.name in account.services)
        ]
        data = [{'id': s.name, 'object': 'model', 'owned_by': 'passpier'} for s in services]
        self.write({'object': 'list', 'data': data})


class EntriesHandler(CallerHandler):
    """`GET /v1/entries`: the addresses that the account should use."""

    async def get(self) -> None:
        """Send the ranked addresses and how long they may be used."""
        await self.run_guarded(self._serve())

    async def _serve(self) -> None:
        account = self.find_account()
        ranked = self.app.rank_entries(account.name)
        self.write(
            {
                'account': account.name,
                'ttl': self.app.fleet.options.entry_ttl,
                'entries': [_render_entry(e) for e in ranked],
            }
        )


class HealthHandler(tornado.web.RequestHandler):
    """`GET /healthz`, `/readyz` and `/metrics`."""

    def initialize(self, app: service.Service) -> None:
        """Store the daemon's service."""
        self.app = app

    def get(self) -> None:
        """Send the state of this process, without accessing anything else."""
        if self.request.path == '/metrics':
            body, headers = self.app.counters.render(self.request.headers.get_list('Accept'))
            for name, value in headers.items():
                self.set_header(name, value)
            self.write(body)
            return
        ready = self.app.fleet.config is not None
        serving = self.app.get_phase() is drain.Phase.SERVING
        if self.request.path == '/readyz' and not (ready and serving):
            self.set_status(503)
        self.write({'ready': ready, 'serving': serving, 'uptime': self.app.get_uptime()})


class MissingHandler(CallerHandler):
    """Any other path."""

    async def prepare(self) -> None:
        """Send the refusal."""
        failure = exceptions.Failure(
            exceptions.Code.NOT_FOUND, exceptions.Outcome.NOT_RUN, 'no such path'
        )
        self.write_failure(failure)
        await self.finish()


class RequestTracker(tornado.httputil.HTTPServerConnectionDelegate):
    """Tracks requests from the arrival of their head on, before the handlers run."""

    def __init__(self, app: service.Service) -> None:
        self._app = app
        self._application = build_application(app)

    def start_request(
        self, server_conn: object, request_conn: tornado.httputil.HTTPConnection
    ) -> tornado.httputil.HTTPMessageDelegate:
        """Return the delegate that receives the parts of a request."""
        inner = self._application.start_request(server_conn, request_conn)
        return _TrackedRequest(self._app, inner)


class _TrackedRequest(tornado.httputil.HTTPMessageDelegate):
    def __init__(self, app: service.Service, inner: tornado.httputil.HTTPMessageDelegate) -> None:
        self._app = app
        self._inner = inner

    def headers_received(
        self,
        start_line: tornado.httputil.RequestStartLine | tornado.httputil.ResponseStartLine,
        headers: tornado.httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        self._app.receiving.add(self)
        return self._inner.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        return self._inner.data_received(chunk)

    def finish(self) -> None:
        self._inner.finish()
        # By the next iteration of the event loop the handler has registered the request itself.
        asyncio.get_running_loop().call_soon(self._app.receiving.discard, self)

    def on_connection_close(self) -> None:
        self._app.receiving.discard(self)
        self._inner.on_connection_close()


def build_application(app: service.Service) -> tornado.web.Application:
    """Return the web application of the callers' port."""
    state = {'app': app}
    return tornado.web.Application(
        [
            (calls.COMPLETION_PATH, CompletionHandler, state),
            (calls.CHAT_PATH, CompletionHandler, state),
            ('/v1/models', ModelsHandler, state),
            ('/v1/entries', EntriesHandler, state),
            ('/services/([^/]+)(/.*)', PlainHandler, state),
            ('/healthz', HealthHandler, state),
            ('/readyz', HealthHandler, state),
            ('/metrics', HealthHandler, state),
        ],
        default_handler_class=MissingHandler,
        default_handler_args=state,
    )


def _make_unusable_error() -> calls.RequestFailedError:
    message = 'the stored response can not be sent as a stream'
    code = exceptions.Code.UPSTREAM_FAILED
    return calls.RequestFailedError(exceptions.Failure(code, exceptions.Outcome.RAN, message))


def _refuse(
    code: exceptions.Code, message: str, retry_after: float | None = None
) -> calls.RequestFailedError:
    failure = exceptions.Failure(code, exceptions.Outcome.NOT_RUN, message, retry_after)
    return calls.RequestFailedError(failure)


def _render_entry(entry: entries.Entry) -> dict[str, str]:
    return {
        'address': entry.address,
        'incarnation': entry.incarnation,
        'failure_domain': entry.failure_domain,
    }
