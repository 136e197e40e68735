"""Messages between daemons, encoded as MessagePack; each is one-way and carries its sender."""

from __future__ import annotations

import msgspec

from passpier.clients import registry
from passpier.core import crashes, members, replica_processes, revisions, stream_origins


class Message(msgspec.Struct, array_like=True, tag=True):
    """Base of all messages."""


class Heartbeat(Message, tag='hb'):
    """Heartbeat counters of members, and the newest epoch and revision that the sender knows."""

    beats: list[members.Beat]
    revision: int
    epoch: int


class MembersRequest(Message, tag='mw'):
    """Requests the member records of some incarnations; an empty list requests all."""

    incarnations: list[str]


class Members(Message, tag='mm'):
    """Member records, as a response or an introduction of the sender."""

    members: list[members.Member]


class Goodbye(Message, tag='bye'):
    """The sender has finished all its requests and stops."""

    incarnation: str


class DrainRequest(Message, tag='dw'):
    """Requests the receiver to drain, for an operator."""


class RevisionRequest(Message, tag='rw'):
    """Requests the configuration if it is newer than `revision`."""

    revision: int


class RevisionResponse(Message, tag='rs'):
    """The index of a configuration; the receiver requests the chunks that it lacks."""

    index: revisions.Index


class ChunksRequest(Message, tag='cw'):
    """Requests chunks of the configuration by name."""

    names: list[str]


class ChunksResponse(Message, tag='cs'):
    """Compressed chunks of the configuration by name."""

    chunks: dict[str, bytes]


class Epoch(Message, tag='ep'):
    """An epoch; maps the incarnation of each holder to its name, failure domain and address."""

    number: int
    holders: dict[str, tuple[str, str, str]]
    took_over: int = 0
    lost: dict[str, tuple[str, str, str]] = {}


class EpochRequest(Message, tag='ew'):
    """Requests the newest epoch."""


class ReplicaLoads(Message, tag='ld'):
    """The sender's load at replicas: name, short process id, tokens by priority, requests.

    The tokens are those left to compute, the requests those that run or wait. For replicas that are
    not listed nothing has changed, or, if `is_full` is set, the sender has no load there.

    `memory` lists the KV memory, in tokens, that the requests of each row need. It is empty if no
    row needs any, and in messages of older releases.
    """

    loads: list[tuple[str, int, tuple[int, ...], int]]
    is_full: bool = True
    memory: list[int] = []


class PriorityDemandRow(msgspec.Struct, array_like=True, frozen=True):
    """A `PriorityDemand` in integers, which are encoded in a third of the bytes."""

    running: int = 0
    waiting: int = 0
    waiting_tokens: int = 0
    requests_per_100s: int = 0
    prefill_rate: int = 0
    placed_rate: int = 0
    longest_prefill: int = 0
    slot_ms: int = 0
    streams_per_100s: int = 0
    paused_per_100s: int = 0


class ServiceDemandRow(msgspec.Struct, array_like=True, frozen=True):
    """A VM's demand for a service: by priority, if any, and the waiting tokens of accounts."""

    service: str
    priorities: tuple[PriorityDemandRow | None, ...] = ()
    accounts: tuple[tuple[str, int], ...] = ()


class RelayedDemand(msgspec.Struct, array_like=True, frozen=True):
    """Demand that another VM, given by a short id, had `age_ms` milliseconds ago."""

    sender: str
    age_ms: int
    rows: tuple[ServiceDemandRow, ...]


class DemandShares(Message, tag='dm'):
    """The sender's demand for services, and in large fleets the demand of others that it relays.

    For services that are not listed nothing has changed.
    """

    rows: tuple[ServiceDemandRow, ...] = ()
    relayed: tuple[RelayedDemand, ...] = ()


class RateUsage(Message, tag='sp'):
    """The sender's use of rate limits since its start: account, units spent, units left.

    `number` numbers the sender's messages to the receiver, `confirmed` is the number of the last
    message received in the other direction. `is_reliable` is set if the units left are reliable.
    For accounts that are not listed nothing has changed since the last confirmed message.
    """

    number: int
    confirmed: int
    is_reliable: bool
    rows: list[tuple[str, int, int]]


class BorrowRequest(Message, tag='bo'):
    """Requests a loan of one unit of an account's limit for the duration of a request."""

    loan: str
    account: str


class BorrowResponse(Message, tag='le'):
    """The response to `BorrowRequest`; `retry_after` is in seconds."""

    loan: str
    granted: bool
    retry_after: float


class Repay(Message, tag='re'):
    """Returns a borrowed unit, with the tokens that were used."""

    loan: str
    tokens: int


class ActiveLoans(Message, tag='lo'):
    """The ids of all loans from the receiver that the sender still uses."""

    loans: list[str]


class ViewRequest(Message, tag='vw'):
    """Requests a snapshot of the cache view with up to `limit` blocks."""

    limit: int


class ViewResponse(Message, tag='vs'):
    """The most recent blocks of each replica: name, incarnation, weight version, blocks."""

    holdings: list[tuple[str, str, str, list[int]]]


class ForwardRequest(Message, tag='fw'):
    """Forwards a request with an idempotency key to its home daemon."""

    id: str
    account: str
    service: str
    path: str
    key: str
    body: bytes
    method: str
    content_type: str


class ForwardResponse(Message, tag='fd'):
    """The response to `ForwardRequest`; `failure` is empty or a JSON-encoded failure."""

    id: str
    status: int
    content_type: str
    body: bytes
    failure: bytes


class ExplainRequest(Message, tag='xw'):
    """Requests the routing decisions of a request."""

    id: str
    request: str


class ExplainResponse(Message, tag='xd'):
    """The routing decisions of a request, each encoded as JSON."""

    id: str
    decisions: list[bytes]


class FreshnessRequest(Message, tag='pw'):
    """Requests the registry changes after `revision` and a proof of their freshness.

    `sent_at` is echoed. `wants_all` is set if the sender has no state and could not read any.
    `configuration_version` is that of the configuration in force there.
    """

    sent_at: float
    revision: registry.Revision
    wants_all: bool
    configuration_version: int


class ModelReleases(msgspec.Struct, array_like=True):
    """The releases of a model's weights: versions, each with its maximum age in seconds."""

    model: str
    ages: list[tuple[int, float]]


class FreshnessProof(Message, tag='pr'):
    """Proof of freshness: no change older than `age` seconds has a revision above `revision`.

    The age is that at the time of the request, or greater. `sent_at` and `since`, a revision, are
    those of the request. `items` are all changes after `since` up to `known_revision`, or all items
    if `is_full` is set. `awaited` lists the replicas whose entries have disappeared but may come
    back, with the seconds for which the sender waits. `configuration` is a newer one than the
    receiver's that the registry has lost, if there is any.
    """

    sent_at: float
    revision: registry.Revision
    age: float
    weights: list[ModelReleases]
    since: registry.Revision
    known_revision: registry.Revision
    awaited: dict[str, float]
    is_full: bool
    items: bytes
    configuration: bytes


class ProofRequest(Message, tag='pn'):
    """Asks for a proof from a call to the registry that begins after the request has arrived."""

    id: str
    request: FreshnessRequest


class ProofResponse(Message, tag='pf'):
    """The response to `ProofRequest`; the proof is older if the registry didn't answer in time."""

    id: str
    proof: FreshnessProof


class PlacedPrompts(Message, tag='pl'):
    """Prompts sent to replicas: name, start, weight version, blocks, block ends in tokens."""

    prompts: list[tuple[str, int, str, list[int], list[int]]]


class CacheStoreChanges(Message, tag='ke'):
    """Blocks that a shared cache store added and removed since the last message.

    `epoch` is 0 if the store is down. `next` is the number of the event from which a successor of
    the sender has to read.
    """

    store: str
    epoch: int
    next: int
    added: list[int]
    removed: list[int]


class ReplicaUnresponsive(Message, tag='si'):
    """A replica does not respond to the sender; the receiver should check it."""

    replica: str
    started_ms: int = 0

    @property
    def process(self) -> replica_processes.ReplicaProcess:
        """The process that does not respond."""
        return replica_processes.ReplicaProcess(self.replica, self.started_ms)


class ReplicaLimit(Message, tag='lm'):
    """The limit, in requests per second, that a replica gave `age` seconds ago, if any."""

    replica: str
    limit: float | None
    age: float
    started_ms: int = 0

    @property
    def process(self) -> replica_processes.ReplicaProcess:
        """The process that gave the limit."""
        return replica_processes.ReplicaProcess(self.replica, self.started_ms)


class ReplicaBackoff(Message, tag='bf'):
    """A replica has asked the VM with the tunnel port `via` to back off for some seconds."""

    replica: str
    seconds: float
    via: str
    started_ms: int = 0

    @property
    def process(self) -> replica_processes.ReplicaProcess:
        """The process that has asked for it."""
        return replica_processes.ReplicaProcess(self.replica, self.started_ms)


class ServiceBrittle(Message, tag='br'):
    """Replicas of a service said `age` seconds ago how many refusals a second they bear, if any."""

    service: str
    refusal_limit: float | None
    age: float


class ReplicaLeaving(Message, tag='dp'):
    """A replica has announced that it is leaving."""

    replica: str
    started_ms: int = 0

    @property
    def process(self) -> replica_processes.ReplicaProcess:
        """The process that is leaving."""
        return replica_processes.ReplicaProcess(self.replica, self.started_ms)


class ReplicaCrashes(Message, tag='en'):
    """Crashes of replicas' processes, with the requests that were running there.

    The requests in `cleared` are known not to have caused their crashes.
    """

    reports: list[crashes.Crash]
    cleared: list[crashes.Clearing]


class SuspectRun(Message, tag='ty'):
    """The sender runs a request suspected of causing crashes, for at most `seconds`."""

    fingerprint: int
    seconds: float


class WeightsLoading(Message, tag='lg'):
    """A replica is about to load version `ordered` and should get no requests for `seconds`."""

    replica: str
    seconds: float
    ordered: int
    started_ms: int = 0

    @property
    def process(self) -> replica_processes.ReplicaProcess:
        """The process that is to load the weights."""
        return replica_processes.ReplicaProcess(self.replica, self.started_ms)


class WeightsLoaded(Message, tag='ly'):
    """An order to load version `ordered` has finished.

    The replica now serves `weight_version`, or is unchanged if that is 0.
    """

    replica: str
    ordered: int
    weight_version: int
    started_ms: int = 0

    @property
    def process(self) -> replica_processes.ReplicaProcess:
        """The process that was ordered to load the weights."""
        return replica_processes.ReplicaProcess(self.replica, self.started_ms)


class StreamBegun(Message, tag='sb'):
    """A stream has begun that clients may resume for the given number of seconds.

    Without a software version, it has become uncertain where it began.
    """

    stream: str
    origin: stream_origins.Origin
    seconds: float


class ProcessReplaced(Message, tag='rp'):
    """A process that the receiver takes for that of a replica has been replaced by another one."""

    replica: str
    started_ms: int

    @property
    def process(self) -> replica_processes.ReplicaProcess:
        """The process that has been replaced."""
        return replica_processes.ReplicaProcess(self.replica, self.started_ms)


class OriginRequest(Message, tag='ow'):
    """Asks where a stream of a service began that may have lasted for `seconds`."""

    id: str
    stream: str
    service: str
    seconds: float


class OriginResponse(Message, tag='os'):
    """The response to `OriginRequest`, with the service's versions of that time."""

    id: str
    origin: stream_origins.Origin | None
    sighting: stream_origins.Sighting


class SpeedRow(msgspec.Struct, array_like=True):
    """The sender's samples of one replica process, in the units of `routing/speed_sharing.py`."""

    name: str
    mark: int
    """The short process id."""

    prefills: int
    tokens: int
    prefill_time: int
    gaps: int = 0
    gap_time: int = 0


class ReplicaSpeeds(Message, tag='sv'):
    """The sender's samples of the speeds of replicas, in place of those it sent before.

    For replicas that are not listed nothing has changed.
    """

    rows: list[SpeedRow]


AnyMessage = (
    Heartbeat
    | MembersRequest
    | Members
    | Goodbye
    | DrainRequest
    | RevisionRequest
    | RevisionResponse
    | ChunksRequest
    | ChunksResponse
    | Epoch
    | EpochRequest
    | ReplicaLoads
    | DemandShares
    | RateUsage
    | BorrowRequest
    | BorrowResponse
    | Repay
    | ActiveLoans
    | ViewRequest
    | ViewResponse
    | ForwardRequest
    | ForwardResponse
    | ExplainRequest
    | ExplainResponse
    | FreshnessRequest
    | FreshnessProof
    | ProofRequest
    | ProofResponse
    | PlacedPrompts
    | CacheStoreChanges
    | ReplicaUnresponsive
    | ReplicaLimit
    | ReplicaBackoff
    | ServiceBrittle
    | ReplicaLeaving
    | ReplicaCrashes
    | SuspectRun
    | WeightsLoading
    | WeightsLoaded
    | StreamBegun
    | ProcessReplaced
    | OriginRequest
    | OriginResponse
    | ReplicaSpeeds
)


class Envelope(msgspec.Struct, array_like=True):
    """A message with the incarnation and peer address of its sender."""

    sender: str
    address: str
    message: AnyMessage


encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Envelope).decode
