"""Interfaces through which a platform adapter translates its wire formats to the router's types."""

from __future__ import annotations

import enum
from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

import msgspec
import tornado.httputil

from passpier.clients import exchanges
from passpier.core import backpressure, buckets, catalogue, features, prompts, routes


class ClientRequest(msgspec.Struct, frozen=True):
    """A client's request as far as the router parses it; times are in seconds."""

    id: str
    method: str
    host: str
    target: str
    key: str | None
    timeout: float | None
    """How long the client will wait, if it says so."""

    prompt: prompts.Prompt | None
    last_event: str
    headers: exchanges.Headers
    """The headers that are forwarded to the upstream unchanged."""

    resumes: str = ''
    """The id of the request that began a stream which the client resumes, if it names one."""

    tokens: int | None = None
    """The prompt's tokens plus the maximum of the response, if the client states them."""

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition('?')[0]


class AttemptFields(msgspec.Struct, frozen=True):
    """What the router adds to one attempt, but for its deadline."""

    incarnation: str
    weight_version: str
    account: str
    priority: int | None
    salt: str
    source: str
    """The address to fetch cached prompt parts from, if any."""
    target: str
    """The address to save computed prompt parts to, if any."""
    last_event: str


class Verdict(enum.Enum):
    """How the head of an upstream's response is classified."""

    SUCCESS = 'success'
    FAILURE = 'failure'
    """The upstream ran the request and failed it."""

    NOT_RUN = 'not_run'
    """The upstream says that it did not run the request."""

    WRONG_UPSTREAM = 'wrong_upstream'
    """Another incarnation or weight version than requested; not run."""

    INVALID = 'invalid'
    """Not a valid response; the request may have run."""


class Dialect(Protocol):
    """Translates requests and responses."""

    id_header: str

    def read_request(
        self, start: tornado.httputil.RequestStartLine, headers: tornado.httputil.HTTPHeaders
    ) -> ClientRequest:
        """Return a client's request; raises `ValueError` with the reason if it is invalid."""

    def write_request(
        self, client_request: ClientRequest, added: AttemptFields
    ) -> exchanges.Headers:
        """Return the headers of one attempt, but for its deadline."""

    def write_deadline(self, time_left: float) -> exchanges.Headers:
        """Return the header that tells an upstream how many seconds it has."""

    def classify_response(self, head: exchanges.Head) -> Verdict:
        """Classify the head of a response."""

    def read_version(self, head: exchanges.Head) -> str:
        """Return the weight version that produced a response, or an empty string."""

    def read_incarnation(self, head: exchanges.Head) -> str:
        """Return the incarnation that an upstream reports as its own, or an empty string."""

    def read_signal(self, head: exchanges.Head) -> backpressure.Signal:
        """Return the backpressure signal in a response."""

    def filter_headers(self, headers: exchanges.Headers) -> list[tuple[str, str]]:
        """Return the headers of a response that are forwarded to the client."""


class Report(msgspec.Struct, frozen=True):
    """A replica's own report on its state; `accepted_orders` counts those of its process."""

    versions: Mapping[str, int]
    order_pending: bool
    """Whether an order is still being carried out."""
    accepted_orders: int
    running: int
    waiting: int
    started_ms: int | None = None
    """When its process started, in Unix milliseconds; none if it doesn't say."""

    signal: backpressure.Signal = backpressure.NO_SIGNAL
    """Its backpressure signal."""

    memory_used: int | None = None
    """Tokens of KV memory that running requests use; none if it doesn't say."""

    memory_total: int | None = None
    """Its KV memory in tokens; none if it doesn't say."""


class OrderResult(enum.Enum):
    """How a replica responded to an order."""

    TAKEN = 'taken'
    HOLDS = 'holds'
    """The replica already has the ordered weights."""

    BUSY = 'busy'
    """Another order is in progress, or others were accepted since."""

    REFUSED = 'refused'
    REPLACED = 'replaced'
    """Another incarnation has the address."""

    UNKNOWN = 'unknown'
    """No response; the order may still be carried out."""


class WeightOrder(msgspec.Struct, frozen=True):
    """An order to load weights, with a fencing token."""

    incarnation: str
    model: str
    version: int
    holder: str
    token: int
    expected_orders: int


ASK_TIMEOUT = 0.4
"""Seconds in which a replica must return a report; it takes milliseconds."""


class CacheChange(msgspec.Struct, frozen=True):
    """A part that was added to a cache or removed from it."""

    added: bool
    salt: str
    part: str


class CacheChanges(msgspec.Struct, frozen=True):
    """Events of a cache; `lost` says that some before them are missing."""

    epoch: int
    next: int
    lost: bool
    changes: tuple[CacheChange, ...]


class Engines(Protocol):
    """Calls to replicas other than client requests."""

    async def report(
        self, address: str, incarnation: str, proxy: str | None = None, is_new: bool = False
    ) -> Report:
        """Return a replica's report within `ASK_TIMEOUT`; raises `ExchangeError`.

        A replica of a plain service or a cache store, which have no reports, returns an empty one;
        a cache store has no incarnation. For `proxy` and
        `is_new` see `connections.Pool.open`.
        """

    async def read_cache_changes(self, address: str, since: int, wait: float) -> CacheChanges:
        """Return a cache's events from number `since`; raises `ExchangeError`."""

    async def order(
        self, address: str, order: WeightOrder, may_send: Callable[[], bool]
    ) -> OrderResult:
        """Send an order, always directly: replicas tell the process that gives it by its VM.

        `may_send` is checked right before its first byte.
        """


class Records(Protocol):
    """Decodes registry records; each method raises `StoreError` for an invalid one."""

    configuration_key: str
    version_prefix: str
    replica_prefix: str
    own_prefix: str

    def decode_configuration(self, data: bytes) -> routes.Configuration:
        """Return the operator's configuration."""

    def decode_replica(self, id: str, data: bytes) -> catalogue.Entry:
        """Return a replica's entry."""

    def decode_named_version(self, data: bytes) -> tuple[str, int]:
        """Return a model and its released weight version."""


class Options(msgspec.Struct, frozen=True):
    """Settings of a router process; times are in seconds."""

    name: str
    ip: str
    failure_domain: str
    region: str
    capacity: float
    """Processor cores that the VM grants this process."""

    caller: str
    ready: str
    directory: str
    peer_port: int
    tunnel_port: int
    """Port at which peers request tunnels; 0 for none."""

    key_bound: float
    keys_expire: bool
    """Whether keys are refused once the newest configuration may be older than `key_bound`."""

    stop_bound: float
    answer_ttl: float
    order_hold: float
    version_bound: float
    lease_ttl: float
    retry_ratio: float
    retry_slack: float
    retry_window: float
    rate_tolerance: buckets.Tolerance
    """What accounts may spend above their rates."""

    metrics_port: int
    enabled_features: frozenset[features.Feature] = features.ALL
    memory_mb: float | None = None
    """Memory of the VM in MB; none if it is unknown."""


class Query(msgspec.Struct, frozen=True):
    """A client's question to which address it should connect."""

    region: str
    failure_domain: str


class Directory(Protocol):
    """Tells clients where to connect, and the platform whether a process is ready."""

    directory_path: str
    ready_path: str

    def read_query(self, request: tornado.httputil.HTTPServerRequest) -> Query:
        """Return what a client says about itself."""

    def render_entries(self, addresses: Sequence[str], ttl: float) -> dict[str, object]:
        """Return the body of the response."""
