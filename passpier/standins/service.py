"""Stand-in for a plain service that counts the runs of each idempotency key."""

from __future__ import annotations

import asyncio
import collections

from passpier.standins import common


class Call(common.Handler):
    """Handles every other path: counts the run and answers."""

    runs: collections.Counter[str]

    async def post(self) -> None:
        """Count a run of the key, sleep for the configured time, answer."""
        key = self.request.headers.get('Idempotency-Key', '')
        self.runs[key] += 1
        await asyncio.sleep(float(self.faults.options.get('work', 0.0)))
        self.drop_lost_answer()
        padding = 'x' * int(self.faults.options.get('padding', 0))
        answer = {'path': self.request.uri, 'key': key, 'run': self.runs[key]}
        self.write({**answer, 'padding': padding} if padding else answer)

    get = post


class Runs(common.Handler):
    """Returns the number of runs by key, which the at-most-once tests check."""

    runs: collections.Counter[str]

    async def prepare(self) -> None:
        """Ignore all faults."""

    def get(self) -> None:
        """Answer with the counts."""
        self.write(dict(self.runs))


def main() -> None:
    """Run the stand-in."""
    arguments = common.build_parser('standin-service').parse_args()
    faults = common.Faults()
    state = {'faults': faults, 'runs': collections.Counter()}
    routes = [('/_runs', Runs, state), ('/.*', Call, state)]
    asyncio.run(common.serve([routes[0], routes[1]], faults, arguments.port, arguments.ip))


if __name__ == '__main__':
    main()
