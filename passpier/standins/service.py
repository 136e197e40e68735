"""Stand-in of a plain service that counts each run per idempotency key."""

from __future__ import annotations

import asyncio
import collections

from passpier.standins import common


class Call(common.Handler):
    """Any path: runs, counts, and answers."""

    runs: collections.Counter[str]

    async def post(self) -> None:
        """Count a run of the key, take the set time, answer."""
        key = self.request.headers.get('Idempotency-Key', '')
        self.runs[key] += 1
        await asyncio.sleep(float(self.faults.options.get('work', 0.0)))
        self.cut_if_answer_is_lost()
        padding = 'x' * int(self.faults.options.get('padding', 0))
        answer = {'path': self.request.uri, 'key': key, 'run': self.runs[key]}
        self.write({**answer, 'padding': padding} if padding else answer)

    get = post


class Runs(common.Handler):
    """Shows the runs per key: the oracle of the at-most-once tests."""

    runs: collections.Counter[str]

    async def prepare(self) -> None:
        """Let this call through whatever the faults."""

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
