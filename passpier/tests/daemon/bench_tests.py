"""A short run of the benchmark and of two microbenchmarks, without assertions on times."""

from __future__ import annotations

import json

import pytest

from passpier.standins import bench, microbenchmarks


@pytest.mark.parametrize('policy', ['cost', 'prefix_hash'])
def test_smoke_run(policy: str) -> None:
    line = bench.run_one('smoke', policy, 1)
    assert line['completed'] > 0
    assert (line['lost'], line['doubled'], line['refused']) == (0, 0, 0)
    assert 0.0 <= line['hit_rate'] <= 1.0


def test_microbenchmarks_print_json(capsys: pytest.CaptureFixture[str]) -> None:
    microbenchmarks.measure_spread()
    microbenchmarks.measure_view()
    lines = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
    assert {line['slope'] for line in lines} >= {'revision_spread', 'view_memory'}
