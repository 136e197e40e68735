"""The report of processor time covers each kind of work."""

from __future__ import annotations

import asyncio

from passpier.standins.platform import costs


def test_each_kind_of_work_is_measured() -> None:
    report = asyncio.run(costs.Costs(1, 2, 6, 40.0).run(1.0))
    assert [row.work for row in report.rows] == [
        'start of a process',
        'request /safe/x',
        'request /once/x',
        'request /stream/x',
        'request /resume/x',
        'refusal, unknown key',
    ]
    assert all(row.count and row.milliseconds > 0 for row in report.rows)
    assert report.idle > 0
    assert all(row.work in report.render() for row in report.rows)
