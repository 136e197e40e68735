"""The settings file of the platform: read, checked, with all findings at once."""

from __future__ import annotations

import pathlib
import tomllib
from typing import Any

import pydantic

from passpier import exceptions
from passpier.config import addresses


class _Section(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='ignore', frozen=True)


class Listen(_Section):
    """Addresses of this process."""

    frontend: addresses.Address
    ready: addresses.Address
    directory: addresses.Address


class Bounds(_Section):
    """Figures of the platform's rules, in the units that their names end in."""

    grace_s: float = 8
    revoke_fail_closed: bool = True
    revoke_ms: float = 5000
    retry_budget_ratio: float = 0.2
    retry_budget_slack: float = 20
    budget_window_s: float = 10
    quota_window_s: float = pydantic.Field(default=8, gt=0)
    quota_overshoot: float = pydantic.Field(default=0.1, ge=0)
    quota_slack: float = pydantic.Field(default=0, ge=0)
    lease_ms: float = 3000
    version_ms: float = 10_000
    ttl_max_s: float = 5


class Platform(_Section):
    """The store."""

    address: addresses.Address
    ttl_min_ms: float = 1000


class Limits(_Section):
    """What the VM gives: a share of a core that runs `cores` times as fast."""

    cpu_quota: float = 1.0
    cores: float = 1.0


class Settings(_Section):
    """What passpier uses of the file; fields that it does not know are skipped."""

    node_name: str = pydantic.Field(min_length=1)
    ip: str
    zone: str
    region: str
    internal_ports: tuple[int, int]
    listen: Listen
    limits: Limits = Limits()
    bounds: Bounds = Bounds()
    platform: Platform

    @pydantic.field_validator('ip')
    @classmethod
    def _check_ip(cls, value: str) -> str:
        addresses.check_address(f'{value}:1')
        return value


def load_settings(path: str) -> Settings:
    """Return the settings of a file; raises `FindingsError` with all findings."""
    try:
        raw: dict[str, Any] = tomllib.loads(pathlib.Path(path).read_text())
    except (OSError, ValueError) as error:
        raise exceptions.FindingsError([exceptions.Finding(path, str(error))]) from error
    try:
        return Settings.model_validate(raw)
    except pydantic.ValidationError as error:
        findings = [
            exceptions.Finding(f'{path}: {".".join(map(str, e["loc"]))}', e['msg'])
            for e in error.errors()
        ]
        raise exceptions.FindingsError(findings) from error
