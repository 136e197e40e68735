"""Validation of addresses in settings and schema files."""

from __future__ import annotations

import ipaddress


def check_address(value: str) -> str:
    """Return a valid `IP:port` address; raise `ValueError` with the reason if it is not."""
    host, separator, port = value.rpartition(':')
    if not separator or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError('must be IP:port')
    ipaddress.ip_address(host.strip('[]'))
    return value
