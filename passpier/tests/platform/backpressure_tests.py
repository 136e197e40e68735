"""Backpressure signals in the responses of replicas."""

from __future__ import annotations

import logging

import pytest

from passpier.clients import exchanges
from passpier.core import backpressure
from passpier.platform import dialect, names
from passpier.standins.platform import deployment
from passpier.tests.platform import harness


def read_signal(*headers: tuple[str, str], status: int = 200) -> backpressure.Signal:
    head = exchanges.Head(status, 'OK', [(n.lower(), v) for n, v in headers])
    return dialect.Requests().read_signal(head)


def test_response_without_headers_has_no_signal() -> None:
    assert read_signal() == backpressure.NO_SIGNAL


@pytest.mark.parametrize(('text', 'limit'), [('1.7', 1.7), ('4', 4.0), ('0', 0.0), (' 2.5 ', 2.5)])
def test_limits_are_decimal_numbers(text: str, limit: float) -> None:
    assert read_signal((names.RATE_LIMIT, text)).limit == limit


@pytest.mark.parametrize('text', ['', 'many', '-1', 'nan', 'inf', '1e999', '3;q=1'])
def test_invalid_limits_are_ignored(text: str) -> None:
    assert read_signal((names.RATE_LIMIT, text)) == backpressure.NO_SIGNAL


@pytest.mark.parametrize(('text', 'leaving'), [('1', True), ('0', False), ('', False)])
def test_responses_announce_that_a_replica_is_leaving(text: str, leaving: bool) -> None:
    assert read_signal((names.LEAVING, text)).leaving is leaving


@pytest.mark.parametrize(
    ('text', 'backoff'),
    [
        ('3', 3.0),
        ('0.25', 0.25),
        ('0', None),
        ('-2', None),
        ('Wed, 21 Oct 2026 07:28:00 GMT', None),
    ],
)
def test_refusals_may_carry_a_backoff_in_seconds(text: str, backoff: float | None) -> None:
    assert read_signal(('Retry-After', text), status=503).backoff == backoff


@pytest.mark.parametrize('status', [200, 429, 500])
def test_other_statuses_carry_no_backoff(status: int) -> None:
    assert read_signal(('Retry-After', '3'), status=status).backoff is None


def test_log_shows_limits_and_decisions_under_them(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)

    async def check(running: deployment.Deployment) -> None:
        for replica in running.replicas.values():
            replica.faults.limit = 40.0
        for _ in range(6):
            await running.ask('/safe/x')

    harness.run_check(check)
    lines = [r.__dict__ for r in caplog.records]
    signals = [r for r in lines if r['message'] == 'upstream signal']
    assert {r['limit'] for r in signals} == {40.0}
    assert len(signals) == len({r['upstream'] for r in signals})
    chosen = [r.get('limit') for r in lines if r['message'] == 'routing decision']
    assert chosen[0] is None
    assert chosen[-1] == 40.0
