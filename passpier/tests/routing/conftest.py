"""Fixtures of the tests in virtual time."""

from __future__ import annotations

import asyncio
import time

import pytest


@pytest.fixture
def virtual_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    """Have the steady clock follow the event loop's."""
    monkeypatch.setattr(time, 'monotonic', lambda: asyncio.get_running_loop().time())
