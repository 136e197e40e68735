"""Loads and validates the platform's settings file; reports all findings at once."""

from __future__ import annotations

import pathlib
import tomllib
from typing import Annotated, Any, NewType, TypeGuard, TypeVar, get_type_hints

import msgspec

from passpier import exceptions
from passpier.config import addresses
from passpier.core import freshness

_Section = TypeVar('_Section', bound=msgspec.Struct)


Address = NewType('Address', str)
"""An `IP:port` address."""

Ip = NewType('Ip', str)
"""An IP address."""


class Listen(msgspec.Struct, frozen=True):
    """Addresses on which this process listens."""

    frontend: Address
    ready: Address
    directory: Address


class Bounds(msgspec.Struct, frozen=True):
    """Time bounds and limits set by the platform; each name ends with its unit."""

    grace_s: float = 8
    revoke_fail_closed: bool = True
    revoke_ms: float = 5000
    retry_budget_ratio: float = 0.2
    retry_budget_slack: float = 20
    budget_window_s: float = 10
    quota_window_s: Annotated[float, msgspec.Meta(gt=0)] = 8
    quota_overshoot: Annotated[float, msgspec.Meta(ge=0)] = 0.1
    quota_slack: Annotated[float, msgspec.Meta(ge=0)] = 0
    lease_ms: float = 3000
    version_ms: float = 10_000
    ttl_max_s: float = 5


class Platform(msgspec.Struct, frozen=True):
    """The platform's store."""

    address: Address
    ttl_min_ms: float = 1000


class Limits(msgspec.Struct, frozen=True):
    """Limits of the VM: its memory, and a quota of a core `cores` times as fast as usual."""

    cpu_quota: float = 1.0
    cores: float = 1.0
    memory_mb: float | None = None
    """None if it is unknown."""


class Settings(msgspec.Struct, frozen=True):
    """The part of the settings file that passpier uses; unknown fields are ignored."""

    node_name: Annotated[str, msgspec.Meta(min_length=1)]
    ip: Ip
    zone: str
    region: str
    internal_ports: tuple[int, int]
    listen: Listen
    platform: Platform
    limits: Limits = Limits()
    bounds: Bounds = Bounds()


def load_settings(path: str) -> Settings:
    """Load the settings from a file; raise `FindingsError` with all findings."""
    try:
        raw = tomllib.loads(pathlib.Path(path).read_text())
    except (OSError, ValueError) as error:
        raise exceptions.FindingsError([exceptions.Finding(path, str(error))]) from error
    findings: list[exceptions.Finding] = []
    loaded = _read_section(Settings, raw, f'{path}: ', findings)
    if loaded is not None:
        findings += _check_bounds(loaded.bounds, f'{path}: bounds.')
    if loaded is None or findings:
        raise exceptions.FindingsError(findings)
    return loaded


def _check_bounds(bounds: Bounds, location: str) -> list[exceptions.Finding]:
    """Return the findings on bounds that depend on each other."""
    shortest = freshness.BOUND_MIN * 1000
    if bounds.revoke_fail_closed and bounds.revoke_ms < shortest:
        text = f'is too short to be kept, must be at least {shortest:.0f}'
        return [exceptions.Finding(f'{location}revoke_ms', text)]
    return []


def _read_section(
    section: type[_Section], raw: dict[str, Any], location: str, findings: list[exceptions.Finding]
) -> _Section | None:
    """Return a validated section, or none after adding a finding for each of its errors."""
    findings_before = len(findings)
    hints = get_type_hints(section, include_extras=True)
    values: dict[str, Any] = {}
    for field in msgspec.structs.fields(section):
        name = field.name
        if name not in raw:
            if field.required:
                findings.append(exceptions.Finding(location + name, 'is missing'))
            continue
        values[name] = _read_value(hints[name], raw[name], location + name, findings)
    return section(**values) if len(findings) == findings_before else None


def _read_value(
    expected: Any, value: Any, location: str, findings: list[exceptions.Finding]
) -> object:
    if isinstance(value, dict) and _is_section(expected):
        return _read_section(expected, value, f'{location}.', findings)
    try:
        converted = msgspec.convert(value, expected)
        if expected is Address:
            addresses.check_address(converted)
        elif expected is Ip:
            addresses.check_address(f'{converted}:1')
    except ValueError as error:
        findings.append(exceptions.Finding(location, str(error)))
        return None
    return converted


def _is_section(expected: Any) -> TypeGuard[type[msgspec.Struct]]:
    return isinstance(expected, type) and issubclass(expected, msgspec.Struct)
