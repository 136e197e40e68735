"""Headers, paths and store keys of the platform's protocol."""

from __future__ import annotations

SETTINGS_VARIABLE = 'PASSPIER_NODE_FILE'

REQUEST_ID = 'X-Passpier-Request-Id'
DEADLINE = 'X-Passpier-Deadline-Ms'
"""Milliseconds for which the client still waits for the response."""

STORE_ERA = 'Store-Era'
"""In all answers of the store; rises by one each time it returns from an older copy."""

MODEL = 'X-Passpier-Model'
TOKEN_USAGE = 'X-Passpier-Token-Usage'
"""Prompt tokens and maximum completion tokens, separated by a comma."""

PREFIX_HASHES = 'X-Passpier-Prefix-Hash'
"""Segments of the prompt in order: a comma-separated list of `ID:TOKENS`."""

LAST_EVENT_ID = 'Last-Event-Id'
RESUMES = 'Resumes'
"""Request id of the attempt that brought the first event of a stream which a client resumes."""

ACCOUNT = 'X-Passpier-Tenant'
EXPECT_INCARNATION = 'X-Passpier-Expect-Instance'
INCARNATION = 'X-Passpier-Instance-Id'
EXPECT_VERSION = 'X-Passpier-Expect-Version'
PRIORITY = 'X-Passpier-Request-Priority'
SALT = 'X-Passpier-Cache-Salt'
CACHE_SOURCE = 'X-Passpier-Kv-Source'
CACHE_TARGET = 'X-Passpier-Kv-Target'
SERVER_STAMP = 'X-Passpier-Server-Stamp'
"""Signature of the upstream that produced the response."""

NOT_EXECUTED = 'X-Passpier-Not-Executed'
LEAVING = 'Server-Leaving'
"""`1` in every response of a replica that is about to shut down."""

RATE_LIMIT = 'Server-Limit'
"""Requests per second that a replica accepts from all VMs together."""

BRITTLE = 'Server-Brittle'
"""In all responses of a brittle replica: how many requests a second it can refuse for want of room
without a crash."""

WEIGHT_VERSION = 'X-Passpier-Weight-Versions'
AUTHORIZATION = 'Authorization'
AUTHORIZATION_SCHEME = 'Token '

ROUTER_HEADERS = frozenset(
    name.lower()
    for name in (
        ACCOUNT,
        EXPECT_INCARNATION,
        EXPECT_VERSION,
        PRIORITY,
        SALT,
        CACHE_SOURCE,
        CACHE_TARGET,
        'X-Passpier-Pin-Ms',
        'X-Passpier-Kv-Hold',
        'X-Passpier-Kv-Backup',
        'Kv-From',
        AUTHORIZATION,
        DEADLINE,
    )
)
"""Request headers that only the router sets; values sent by clients are dropped."""

CONNECTION_HEADERS = frozenset(
    {
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'expect',
    }
)
"""Hop-by-hop headers, and those that message framing sets again on each hop."""

RESOLVE_PATH = '/resolve'
READY_PATH = '/readyz'
REPORT_PATH = '/report'
CACHE_EVENTS_PATH = '/kv-events'
WAIT_MS = 'Wait-Ms'
ORDER_PATH = '/order'

CONFIGURATION_KEY = 'op/config'
VERSION_PREFIX = 'op/version/'
REPLICA_PREFIX = 'servers/'
OWN_PREFIX = 'passpier/'
"""Prefix of the keys that passpier itself writes."""
