"""Settings that would let a lease or a contact expire between two renewals are rejected."""

from __future__ import annotations

from typing import Any

import pydantic
import pytest

from passpier.clients import store
from passpier.config import settings
from passpier.core import shares

LOST_HEARTBEATS = 2
"""Heartbeats that may be lost in a row without a daemon counting as unheard."""


def make_settings(**values: Any) -> settings.Settings:
    return settings.Settings(
        name='vm-0', operator_secret=pydantic.SecretStr('secret-secret'), **values
    )


def test_slowest_heartbeat_keeps_holders_in_contact() -> None:
    """Guards against a fleet that uses no units in a store outage, since nobody is heard."""
    slowest = make_settings(heartbeat=10.0).heartbeat
    assert slowest * (1 + LOST_HEARTBEATS) <= shares.FENCE_SECONDS
    with pytest.raises(pydantic.ValidationError):
        make_settings(heartbeat=10.1)


def test_shortest_lease_outlasts_a_call_without_an_answer() -> None:
    """It is renewed after a third of its time."""
    shortest = make_settings(lease_ttl=3).lease_ttl
    assert shortest - shortest / 3 >= store.CALL_TIMEOUT
    with pytest.raises(pydantic.ValidationError):
        make_settings(lease_ttl=2)
