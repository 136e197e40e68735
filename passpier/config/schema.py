"""Validated models of the schema file that operators write."""

from __future__ import annotations

from typing import Annotated, Literal

import pydantic

from passpier.config import addresses

Name = Annotated[str, pydantic.StringConstraints(pattern=r'^[a-z0-9][a-z0-9._-]{0,62}$')]
Digest = Annotated[str, pydantic.StringConstraints(pattern=r'^[0-9a-f]{64}$')]
Address = Annotated[str, pydantic.AfterValidator(addresses.check_address)]
PolicyName = Literal['cost', 'round_robin', 'least_load', 'prefix_hash']


class Section(pydantic.BaseModel):
    """Base class of all sections; rejects unknown keys."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class Model(Section):
    """A language model with the weight version that is wanted."""

    name: Name
    weight_version: str = pydantic.Field(min_length=1)
    adapters: tuple[Name, ...] = ()
    block_tokens: int = pydantic.Field(default=64, ge=1, le=1024)


class Path(Section):
    """A path of a plain service with rules of its own."""

    path: str = pydantic.Field(pattern=r'^/')
    repeatable: bool = True


class Service(Section):
    """A language-model task or a plain service that callers ask for by name."""

    name: Name
    kind: Literal['model', 'plain'] = 'model'
    model: Name | None = None
    adapter: str = ''
    pool: Name
    preamble: str = ''
    objective: Literal['first_token', 'reuse'] = 'first_token'
    priority: int = pydantic.Field(default=1, ge=0, le=3, description='0 is the most urgent')
    deadline_ms: int | None = pydantic.Field(default=None, ge=1)
    repeatable: bool = True
    paths: tuple[Path, ...] = ()


class Account(Section):
    """A client account with its keys and limits over the whole fleet."""

    name: Name
    key_digests: tuple[Digest, ...] = pydantic.Field(description='SHA-256 of each API key')
    concurrency: int = pydantic.Field(default=16, ge=1, le=100_000)
    tokens_per_second: int = pydantic.Field(default=100_000, ge=1)
    weight: int = pydantic.Field(default=1, ge=1, le=100)
    services: tuple[Name, ...] = pydantic.Field(default=(), description='empty: all')


class Upstream(Section):
    """An engine replica or a plain service's process."""

    name: Name
    address: Address
    events: Address | None = None
    replay: Address | None = None
    vm: Name
    failure_domain: Name
    checks_fencing: bool = False
    leaving: bool = False


class Pool(Section):
    """Upstreams that can stand in for each other."""

    name: Name
    upstreams: tuple[Upstream, ...]


class Rule(Section):
    """Which policy chooses the replica; the first rule that fits counts."""

    services: tuple[str, ...] = ('*',)
    accounts: tuple[str, ...] = ('*',)
    policy: PolicyName = 'cost'


class Fleet(Section):
    """The whole declaration of a fleet."""

    fleet: Name
    models: tuple[Model, ...] = ()
    services: tuple[Service, ...] = ()
    accounts: tuple[Account, ...] = ()
    pools: tuple[Pool, ...] = ()
    rules: tuple[Rule, ...] = ()
