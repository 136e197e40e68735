"""The operators' port: JSON-RPC 2.0 over HTTP, authenticated by a shared secret."""

from __future__ import annotations

import hmac
import logging
import uuid
from typing import Any

import jsonrpcserver
import msgspec
import pydantic
import tornado.web

from passpier import __version__, clocks, exceptions
from passpier.config import loader, schema
from passpier.core import revisions
from passpier.daemon import messages, peers, service
from passpier.utils import decoding

log = logging.getLogger(__name__)

CODE_INVALID = 1
CODE_CONFLICT = 2
CODE_UNAVAILABLE = 3
CODE_NOT_FOUND = 4

EXPLAIN_TIMEOUT = 0.5
"""Seconds to wait for peers that may have logged a request."""


class Operators:
    """The procedures that operators can call."""

    def __init__(self, app: service.Service, link: peers.Peers) -> None:
        self._app = app
        self._peers = link
        self._replies = peers.Replies()
        link.register_handler(messages.ExplainRequest, self._send_decisions)
        link.register_handler(messages.ExplainResponse, self._handle_decisions)
        self.methods = {
            name: getattr(self, name)
            for name in ('apply', 'show', 'status', 'explain', 'drain', 'entries', 'wait')
        }

    async def apply(self, document: dict[str, Any], base: int, nonce: str) -> jsonrpcserver.Result:
        """Accept a configuration based on revision `base`."""
        try:
            fleet = schema.Fleet.model_validate(document)
        except pydantic.ValidationError as error:
            return jsonrpcserver.Error(CODE_INVALID, 'invalid document', str(error))
        problems = [f'{".".join(map(str, p))}: {m}' for p, m in loader.check_references(fleet)]
        if problems:
            return jsonrpcserver.Error(CODE_INVALID, 'invalid document', problems)
        data = msgspec.json.encode(fleet.model_dump(mode='json'))
        try:
            result = await self._app.fleet.storage.accept_revision(data, base, nonce)
        except exceptions.StoreError as error:
            return jsonrpcserver.Error(CODE_UNAVAILABLE, 'the store did not answer', str(error))
        if not isinstance(result, revisions.Revision):
            conflict = {'base': base, 'in_force': result}
            return jsonrpcserver.Error(CODE_CONFLICT, 'another revision was accepted', conflict)
        self._app.fleet.configuration.install(result)
        log.info('configuration accepted', extra={'revision': result.index.revision})
        return jsonrpcserver.Success({'revision': result.index.revision})

    async def show(self) -> jsonrpcserver.Result:
        """Return the configuration in force at this daemon."""
        current = self._app.fleet.configuration.holder.current
        # Installed only if it can be decoded.
        document = decoding.decode_json(current.document) if current else None
        return jsonrpcserver.Success(
            {'revision': current.index.revision if current else 0, 'document': document}
        )

    async def wait(self, revision: int, timeout: float) -> jsonrpcserver.Result:
        """Wait until all live daemons have a revision; return those that do not have it yet."""
        behind = await self._app.fleet.configuration.wait_for(revision, min(timeout, 60.0))
        return jsonrpcserver.Success({'revision': revision, 'behind': behind})

    async def status(self) -> jsonrpcserver.Result:
        """Return the state of all daemons and upstreams as known to this daemon."""
        fleet = self._app.fleet
        now = clocks.now()
        alive = set(fleet.membership.list_alive(now))
        daemons = []
        for member in sorted(fleet.membership.list_known(), key=lambda m: m.name):
            beat = fleet.membership.get_beat(member.incarnation)
            daemons.append(
                {
                    'name': member.name,
                    'entry': member.entry,
                    'failure_domain': member.failure_domain,
                    'alive': member in alive,
                    'leaving': bool(beat and beat.leaving),
                    'revision': fleet.configuration.get_revision(member),
                }
            )
        return jsonrpcserver.Success(
            {
                'daemon': fleet.membership.own.name,
                'version': __version__,
                'revision': fleet.configuration.holder.number,
                'store_available': fleet.storage.available,
                'shares_settled': fleet.limits.book.settled,
                'daemons': daemons,
                'upstreams': self._list_upstreams(now),
            }
        )

    async def entries(self, account: str) -> jsonrpcserver.Result:
        """Return the entries of an account."""
        ranked = self._app.rank_entries(account)
        return jsonrpcserver.Success([msgspec.to_builtins(e) for e in ranked])

    async def explain(self, request: str) -> jsonrpcserver.Result:
        """Return the routing decisions of a request, from peers if this daemon has none."""
        found = self._app.dispatcher.list_decisions(request)
        if not found:
            found = await self._ask_peers(request)
        if not found:
            return jsonrpcserver.Error(CODE_NOT_FOUND, f'no daemon knows request {request!r}')
        return jsonrpcserver.Success(_decode_decisions(found))

    async def drain(self, name: str) -> jsonrpcserver.Result:
        """Start to drain a daemon."""
        fleet = self._app.fleet
        for member in fleet.membership.list_known():
            if member.name != name:
                continue
            if member == fleet.membership.own:
                fleet.begin_drain()
            else:
                self._peers.send(member.peer, messages.DrainRequest())
            return jsonrpcserver.Success({'draining': name})
        return jsonrpcserver.Error(CODE_NOT_FOUND, f'no daemon is called {name!r}')

    def _list_upstreams(self, now: float) -> list[dict[str, Any]]:
        known = self._app.fleet.upstreams
        return [
            {
                'name': r.name,
                'address': r.address,
                'failure_domain': r.failure_domain,
                'incarnation': r.incarnation,
                'weight_version': r.weight_version,
                'leaving': sorted(r.leaving_reasons),
                'ejected': known.ejector.is_ejected(r.name, now),
                'in_flight': len(r.dispatches),
            }
            for r in known.replicas.values()
        ]

    async def _ask_peers(self, request: str) -> list[bytes]:
        id = uuid.uuid4().hex
        for member in self._app.fleet.membership.list_known():
            self._peers.send(member.peer, messages.ExplainRequest(id, request))
        response = await self._replies.wait(id, EXPLAIN_TIMEOUT)
        return response.decisions if isinstance(response, messages.ExplainResponse) else []

    def _send_decisions(self, sender: str, address: str, message: messages.ExplainRequest) -> None:
        found = self._app.dispatcher.list_decisions(message.request)
        if found:
            self._peers.send(address, messages.ExplainResponse(message.id, found))

    def _handle_decisions(
        self, sender: str, address: str, message: messages.ExplainResponse
    ) -> None:
        self._replies.resolve(message.id, message)


def _decode_decisions(found: list[bytes]) -> list[Any]:
    """Return decisions without those that can't be decoded, which peers may have sent."""
    decisions = []
    for data in found:
        try:
            decisions.append(decoding.decode_json(data))
        except exceptions.DecodingError as error:
            log.warning('decision not decoded', extra={'error': str(error)})
    return decisions


class RpcHandler(tornado.web.RequestHandler):
    """`POST /rpc`."""

    def initialize(self, operators: Operators, secret: str) -> None:
        """Store the procedures and the secret."""
        self._operators = operators
        self._secret = secret

    async def post(self) -> None:
        """Check the secret and call the procedure."""
        presented = self.request.headers.get('Authorization', '').removeprefix('Bearer ')
        if not hmac.compare_digest(presented.encode(), self._secret.encode()):
            self.set_status(401)
            self.write({'error': 'the operator secret is missing or wrong'})
            return
        response = await jsonrpcserver.async_dispatch(
            self.request.body.decode(errors='replace'), methods=self._operators.methods
        )
        self.set_header('Content-Type', 'application/json')
        self.write(str(response))


def build_application(operators: Operators, secret: str) -> tornado.web.Application:
    """Return the application of the operators' port."""
    state = {'operators': operators, 'secret': secret}
    return tornado.web.Application([('/rpc', RpcHandler, state)])
