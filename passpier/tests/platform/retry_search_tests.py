"""Plans that came near the retry budget, or over it, and the search that finds them."""

from __future__ import annotations

import asyncio
import random

import pytest

from passpier.standins.platform import retry_search

ALL_FAIL = ('fail',) * retry_search.REPLICAS
SILENT_AND_FAILING = (*(retry_search.SILENT,) * (retry_search.REPLICAS - 1), 'fail')
SILENT_AND_SOUND = (*(retry_search.SILENT,) * (retry_search.REPLICAS - 1), '')


# Guards against retries above the budget that arrive together with those of a later failure.
@pytest.mark.parametrize('routers', [1, 3])
def test_replicas_that_stand_still_get_no_more_retries_than_allowed_when_they_go_on(
    routers: int,
) -> None:
    running = ('',) * routers
    steps = (
        retry_search.Step(0.6, 200.0, SILENT_AND_FAILING, running),
        retry_search.Step(3.0, 40.0, SILENT_AND_SOUND, running),
        retry_search.Step(3.0, 40.0, ALL_FAIL, running),
    )
    result = asyncio.run(retry_search.play(retry_search.Plan('safe', steps), 1))
    assert 0.5 < result.share <= 1, result
    assert result.served > 0.5, result


def test_plans_are_drawn_and_changed_at_random_with_one_fault_for_each_router() -> None:
    planner = retry_search.Planner(random.Random(1), 3, 10.0)
    drawn = [planner.draw() for _ in range(50)]
    changed = [planner.change(plan) for plan in drawn]
    assert {plan.kind for plan in drawn} == set(retry_search.KINDS)
    assert sum(a != b for a, b in zip(drawn, changed, strict=True)) > len(drawn) / 2
    for plan in [*drawn, *changed]:
        assert 2 <= len(plan.steps) <= retry_search.MAX_STEPS
        assert {len(step.routers) for step in plan.steps} == {3}
        assert max(step.seconds for step in plan.steps) <= plan.window
