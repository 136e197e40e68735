"""Seeded load with faults: all guarantees hold, and violations by a broken router are detected."""

from __future__ import annotations

import asyncio

import pytest

from passpier.core import replicas, routes
from passpier.standins.platform import play

SECONDS = 4.0
SIGNALS_SECONDS = 8.0
DETECTION_SECONDS = 16.0
"""Long enough for some ten streams to go on at another version, so that none by chance is rare."""


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_no_guarantee_is_violated(seed: int) -> None:
    report = asyncio.run(play.play(seed, SECONDS, 60.0))
    assert report.violations == []
    assert any(a.status == 200 for a in report.outcomes)


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_backpressure_signals_are_respected(seed: int) -> None:
    report = asyncio.run(play.play(seed, SIGNALS_SECONDS, 60.0, asks=True))
    assert report.violations == []


@pytest.mark.parametrize('seed', [1, 2, 121])
def test_returns_of_the_store_violate_no_guarantee(seed: int) -> None:
    report = asyncio.run(play.play(seed, SIGNALS_SECONDS, 60.0, returns_from_copies=True))
    assert report.violations == []
    assert any('returns' in text for text in report.faults)


@pytest.mark.parametrize('seed', [200, 201, 202])
def test_cuts_between_routers_and_replicas_violate_no_guarantee(seed: int) -> None:
    report = asyncio.run(play.play(seed, SIGNALS_SECONDS, 60.0, cuts=True))
    assert report.violations == []
    assert any('cut' in text for text in report.faults)


@pytest.mark.parametrize('seed', [300, 301, 302])
def test_streams_keep_their_software_version(seed: int) -> None:
    report = asyncio.run(play.play(seed, SIGNALS_SECONDS, 60.0, versions=True))
    assert report.violations == []
    assert any('replaces mixed' in text for text in report.faults)
    assert report.resumed_behind


def test_router_that_ignores_software_versions_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(replicas, 'runs_software', lambda replica, software: True)
    report = asyncio.run(play.play(300, DETECTION_SECONDS, 60.0, versions=True))
    assert any('has events' in text for text in report.violations)


def test_router_that_repeats_non_idempotent_requests_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(routes.Kind, 'is_repeatable', property(lambda self: True))
    found = 0
    for seed in range(4, 12):
        report = asyncio.run(play.play(seed, SECONDS, 60.0))
        found += any('times' in text for text in report.violations)
        if found:
            return
    pytest.fail('no seed shows a second run')
