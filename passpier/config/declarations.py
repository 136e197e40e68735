"""The daemon's representation of the configuration, decoded from an accepted document.

The structs mirror the models of `schema`, which validate what operators submit. An accepted
document has passed that validation, so the daemon decodes it into plain structs, which is faster
and takes less memory.
"""

from __future__ import annotations

import msgspec

from passpier.utils import decoding


class Model(msgspec.Struct, frozen=True):
    """A language model with its target weight version."""

    name: str
    weight_version: str
    adapters: tuple[str, ...] = ()
    block_tokens: int = 64


class Path(msgspec.Struct, frozen=True):
    """Settings for one path of a plain service."""

    path: str
    repeatable: bool = True


class Service(msgspec.Struct, frozen=True):
    """A language-model service or a plain HTTP service."""

    name: str
    pool: str
    kind: str = 'model'
    model: str | None = None
    adapter: str = ''
    preamble: str = ''
    objective: str = 'first_token'
    priority: int = 1
    deadline_ms: int | None = None
    repeatable: bool = True
    paths: tuple[Path, ...] = ()


class Account(msgspec.Struct, frozen=True):
    """A client account with its fleet-wide limits."""

    name: str
    key_digests: tuple[str, ...] = ()
    concurrency: int = 16
    tokens_per_second: int = 100_000
    weight: int = 1
    services: tuple[str, ...] = ()


class Upstream(msgspec.Struct, frozen=True):
    """An engine replica or a process of a plain service."""

    name: str
    address: str
    vm: str
    failure_domain: str
    events: str | None = None
    replay: str | None = None
    checks_fencing: bool = False
    leaving: bool = False


class Pool(msgspec.Struct, frozen=True):
    """Interchangeable upstreams."""

    name: str
    upstreams: tuple[Upstream, ...]


class Rule(msgspec.Struct, frozen=True):
    """The routing policy for some services and accounts."""

    services: tuple[str, ...] = ('*',)
    accounts: tuple[str, ...] = ('*',)
    policy: str = 'cost'


class Fleet(msgspec.Struct, frozen=True):
    """The complete configuration of a fleet."""

    fleet: str
    models: tuple[Model, ...] = ()
    services: tuple[Service, ...] = ()
    accounts: tuple[Account, ...] = ()
    pools: tuple[Pool, ...] = ()
    rules: tuple[Rule, ...] = ()


decode_fleet = decoding.build_json_decoder(Fleet).decode
"""Raises `DecodingError`."""
