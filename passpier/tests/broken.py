"""Checks that a stateful test fails on a deliberately broken implementation.

A test that cannot fail proves nothing.
"""

from __future__ import annotations

import hypothesis
import pytest
from hypothesis import stateful

SEEDS = range(1, 11)


def check_detects_fault(machine: type[stateful.RuleBasedStateMachine], steps: int = 30) -> None:
    """Run a broken state machine with fixed seeds; at least one of them must detect the fault."""
    settings = hypothesis.settings(
        max_examples=150,
        stateful_step_count=steps,
        derandomize=False,
        database=None,
        report_multiple_bugs=False,
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    for seed in SEEDS:
        try:
            stateful.run_state_machine_as_test(hypothesis.seed(seed)(machine), settings=settings)
        except AssertionError:
            return
    pytest.fail(f'{machine.__name__} was not caught')
