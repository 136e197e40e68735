"""Settings of the daemon, from flags and environment variables; flags take precedence."""

from __future__ import annotations

import argparse
from typing import Annotated, Any, Literal

import pydantic
import pydantic_settings

from passpier import exceptions
from passpier.config import addresses, schema

ENV_PREFIX = 'PASSPIER_'


def _split(value: Any) -> Any:
    if isinstance(value, str):
        return tuple(part.strip() for part in value.split(',') if part.strip())
    return value


Addresses = Annotated[
    tuple[schema.Address, ...], pydantic_settings.NoDecode, pydantic.BeforeValidator(_split)
]


class Settings(pydantic_settings.BaseSettings):
    """Settings of a daemon, fixed at its start."""

    model_config = pydantic_settings.SettingsConfigDict(
        env_prefix=ENV_PREFIX, extra='forbid', frozen=True
    )

    name: schema.Name = pydantic.Field(description='name of this VM in the fleet')
    ip: str = pydantic.Field(default='127.0.0.1', description='advertised IP address')
    failure_domain: schema.Name = pydantic.Field(default='default')
    caller_port: int = pydantic.Field(default=8080, ge=0, le=65535)
    operator_port: int = pydantic.Field(default=8081, ge=0, le=65535)
    peer_port: int = pydantic.Field(default=8082, ge=0, le=65535)
    store: str = pydantic.Field(
        default='memory', description='store endpoints, IP:port[,IP:port], or "memory"'
    )
    vm_list: schema.Address | None = pydantic.Field(default=None, description='VM list, IP:port')
    seeds: Addresses = pydantic.Field(default=(), description='peer addresses to ask at start')
    operator_secret: pydantic.SecretStr = pydantic.Field(
        min_length=8, description='shared secret of the operators port'
    )
    log_level: Literal['debug', 'info', 'warning', 'error'] = 'info'
    log_format: Literal['json', 'text'] = 'json'
    entry_ttl: float = pydantic.Field(
        default=10.0, gt=0, le=3600, description='seconds for which callers may keep an entry'
    )
    entry_count: int = pydantic.Field(default=3, ge=1, le=16, description='entries per account')
    drain_bound: float = pydantic.Field(
        default=120.0, gt=0, description='seconds after which a planned stop cuts what is left'
    )
    lease_ttl: int = pydantic.Field(default=10, ge=3, le=300, description='seconds')
    heartbeat: float = pydantic.Field(default=1.0, gt=0.01, le=10, description='seconds')
    max_body: int = pydantic.Field(default=4 * 1024 * 1024, ge=1024, description='bytes')
    key_retention: float = pydantic.Field(
        default=900.0, gt=0, description='seconds for which an idempotency key stays valid'
    )
    events: Literal['all', 'none'] = pydantic.Field(
        default='none', description='whether to take cache events from engines'
    )
    view_blocks: int = pydantic.Field(default=200_000, ge=1000, description='blocks in view')
    seed: int = pydantic.Field(default=0, description='random seed; 0 takes one from the system')

    @pydantic.field_validator('store')
    @classmethod
    def _check_store(cls, value: str) -> str:
        if value != 'memory':
            for endpoint in value.split(','):
                addresses.check_address(endpoint.strip())
        return value

    @pydantic.field_validator('ip')
    @classmethod
    def _check_ip(cls, value: str) -> str:
        addresses.check_address(f'{value}:1')
        return value

    @property
    def store_endpoints(self) -> tuple[str, ...]:
        """Addresses of the store; empty for the in-memory store."""
        return () if self.store == 'memory' else _split(self.store)


def build_parser() -> argparse.ArgumentParser:
    """Return an argument parser with one flag per setting."""
    parser = argparse.ArgumentParser(prog='passpierd', description='The passpier daemon.')
    for name, field in Settings.model_fields.items():
        flag = '--' + name.replace('_', '-')
        text = f'{field.description or name.replace("_", " ")} [{ENV_PREFIX}{name.upper()}]'
        parser.add_argument(flag, dest=name, default=argparse.SUPPRESS, help=text)
    return parser


def load_settings(arguments: list[str]) -> Settings:
    """Load the settings from flags and environment; raise `FindingsError` with all findings."""
    given = vars(build_parser().parse_args(arguments))
    try:
        return Settings(**given)
    except pydantic.ValidationError as error:
        findings = []
        for item in error.errors():
            name = str(item['loc'][0]) if item['loc'] else 'settings'
            flag = '--' + name.replace('_', '-')
            source = flag if name in given else ENV_PREFIX + name.upper()
            findings.append(exceptions.Finding(f'{source} ({flag})', item['msg']))
        raise exceptions.FindingsError(findings) from error
