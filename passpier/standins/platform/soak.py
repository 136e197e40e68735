"""Plays seeded faults, from outside, against routers that run as processes of their own.

The store and the replicas are stand-ins in this process. Between them and each router, and
between clients and each router, stands a proxy that delays, holds up, silences and resets. Routers
are paused, killed, stopped, reloaded and started again by signals, in series that overlap. What
clients and replicas saw is checked against the promises (`promises`), and that all is well in the
end.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import json
import logging
import pathlib
import random
import shutil
import sys
import tempfile
import time

import fire

from passpier.clients import connections, exchanges
from passpier.platform import names
from passpier.standins.platform import deployment, promises, replica, routers, troubles

START_SECONDS = 20.0
"""Seconds in which all routers have to be ready at first; starting many loads the machine."""

RECOVERY = 12.0
"""Seconds after the last trouble in which all has to be well again."""

ANSWER_KEPT = 1.0
"""Seconds for which clients keep what the directory answered."""

DISTURBED_BEFORE = 1.0
"""Seconds after unplanned trouble in which a cut request is not put down to planned work."""


@dataclasses.dataclass(slots=True)
class Report:
    """What a play showed."""

    seed: int
    asked: list[promises.Asked] = dataclasses.field(default_factory=list)
    troubles: list[tuple[float, str]] = dataclasses.field(default_factory=list)
    broken: list[str] = dataclasses.field(default_factory=list)

    def render(self) -> str:
        """Return the report as text."""
        counts = collections.Counter(a.status for a in self.asked)
        told = ', '.join(f'{status}: {count}' for status, count in sorted(counts.items()))
        lines = [f'seed {self.seed}: {len(self.troubles)} troubles; answers {told}']
        lines += [f'  broken: {text}' for text in self.broken]
        if self.broken:
            lines += [f'  {at:6.2f} s {what}' for at, what in self.troubles]
        return '\n'.join(lines)


class Soak:
    """One play."""

    def __init__(self, seed: int, count: int, rate: float, folder: pathlib.Path) -> None:
        self._rng = random.Random(seed)
        self._rate = rate
        self._folder = folder
        self._count = count
        self._deployment = deployment.Deployment()
        self._pool = connections.Pool()
        self._routers: list[routers.RouterProcess] = []
        self._stage = troubles.Stage(self._deployment, self._routers, {})
        self._troubles = troubles.Troubles(self._stage, self._rng)
        self._weights = troubles.WeightTroubles(self._stage, random.Random(seed))
        self._silences = troubles.SilenceTroubles(
            self._stage, self._troubles, random.Random(f'silence {seed}')
        )
        self._named: dict[int, tuple[float, list[str]]] = {}
        self.report = Report(seed)

    async def run(self, seconds: float) -> Report:
        """Start all, play for so long, and check."""
        try:
            await self._start()
            await self._play(seconds)
            await self._check_recovery()
        finally:
            for router in self._routers:
                await router.close()
            for link in self._stage.links.values():
                await link.stop()
            await self._deployment.stop()
            self._pool.close()
        self.report.troubles = self._troubles.done
        self.report.broken += self._troubles.broken
        self.report.broken += promises.find_broken(
            self.report.asked,
            self._deployment.replicas.values(),
            self._troubles.revoked,
            routers.KEY_BOUND,
            routers.ORDER_GAP,
            self._troubles.thaws,
        )
        self.report.broken += promises.find_outdated(
            self.report.asked,
            self._deployment.replicas.values(),
            self._stage.named,
            routers.VERSION_BOUND,
            self._troubles.disturbances,
        )
        return self.report

    async def _start(self) -> None:
        await self._deployment.start(routers=0)
        for known in list(self._deployment.replicas.values()):
            await self._stage.put_behind_proxy(known)
        for number in range(self._count):
            router = routers.RouterProcess(number, self._folder, self._deployment.store_address)
            self._routers.append(router)
            await router.open()
        if not await self._wait_ready(START_SECONDS):
            raise TimeoutError('the routers did not become ready')

    async def _wait_ready(self, bound: float) -> bool:
        ends_at = time.monotonic() + bound
        while time.monotonic() < ends_at:
            answers = [await r.is_ready(self._pool) for r in self._routers]
            if all(answers):
                return True
            await asyncio.sleep(0.1)
        return False

    async def _fetch(self, address: str, target: str) -> exchanges.Answer:
        request = exchanges.Request('GET', target, [('Host', address)])
        return await self._pool.fetch(address, request, 1.0)

    async def _play(self, seconds: float) -> None:
        ends_at = time.monotonic() + seconds
        asking: set[asyncio.Task[None]] = set()
        trouble = asyncio.gather(
            self._troubles.run(ends_at), self._weights.run(ends_at), self._silences.run(ends_at)
        )
        number = 0
        while time.monotonic() < ends_at:
            task = asyncio.ensure_future(self._ask(f'n{number}'))
            asking.add(task)
            task.add_done_callback(asking.discard)
            number += 1
            await asyncio.sleep(self._rng.expovariate(self._rate))
        await trouble
        await asyncio.gather(*asking)

    async def _ask(self, id: str) -> None:
        kind = self._rng.choice(['stream', 'resume', 'safe', 'once'])
        key = self._rng.choice(['secret-1', 'secret-2'])
        router = await self._choose_router()
        began = time.monotonic()
        status, body, echoed = 0, b'', ''
        try:
            reply = await self._deployment.ask_at(
                router.client_link.address,
                f'/{kind}/x',
                id,
                key,
                headers=deployment.make_prompt(self._rng) if kind in ('stream', 'resume') else (),
                patience_ms=1500,
            )
        except exchanges.ExchangeError:
            # A closed connection promises nothing; whether it may be closed is judged below.
            self._judge_cut(router, id, began)
        else:
            status, body = reply.status, reply.body
            echoed = reply.headers.get(names.REQUEST_ID) or 'nobody'
        seconds = time.monotonic() - began
        self.report.asked.append(
            promises.Asked(id, kind, key, began, status, body, seconds, echoed, router.name)
        )

    def _judge_cut(self, router: routers.RouterProcess, id: str, began: float) -> None:
        """Note a request that nothing but planned work can have cut."""
        calm = began > self._troubles.unplanned_until + DISTURBED_BEFORE
        if router.busy and calm and time.monotonic() > self._troubles.unplanned_until:
            self.report.broken.append(f'{id} was cut by planned work on {router.name}')

    async def _choose_router(self) -> routers.RouterProcess:
        """Return where a client goes that keeps answers of the directory for a while."""
        client = self._rng.randrange(8)
        kept_until, addresses = self._named.get(client, (0.0, []))
        if time.monotonic() >= kept_until:
            addresses = await self._resolve() or addresses
            self._named[client] = (time.monotonic() + ANSWER_KEPT, addresses)
        named = [r for r in self._routers if r.caller in addresses]
        return self._rng.choice(named or self._routers)

    async def _resolve(self) -> list[str]:
        for router in self._rng.sample(self._routers, min(3, len(self._routers))):
            try:
                answer = await self._fetch(
                    router.directory, f'/resolve?name={deployment.HOST}&region=here&zone=zone-0'
                )
            except exchanges.ExchangeError:
                continue
            if answer.head.status == 200:
                addresses: list[str] = json.loads(answer.body)['addresses']
                return addresses
        return []

    async def _check_recovery(self) -> None:
        """Note what is not well again some time after the last trouble."""
        for known in self._deployment.replicas.values():
            known.faults = replica.Faults()
        for router in self._routers:
            if not router.runs:
                self.report.broken.append(f'{router.name} ended by itself')
        if not await self._wait_ready(RECOVERY):
            self.report.broken.append(f'not all routers are ready {RECOVERY} s after all trouble')
        ends_at = time.monotonic() + RECOVERY
        while time.monotonic() < ends_at and self._list_outdated():
            await asyncio.sleep(0.1)
        self.report.broken += [f'{id} has old weights' for id in self._list_outdated()]
        for number, router in enumerate(self._routers):
            try:
                reply = await self._deployment.ask_at(router.caller, '/safe/x', f'end{number}')
            except exchanges.ExchangeError as error:
                self.report.broken.append(f'{router.name} answers nothing in the end: {error}')
                continue
            if reply.status != 200:
                self.report.broken.append(f'{router.name} answers {reply.status} in the end')

    def _list_outdated(self) -> list[str]:
        return [
            r.id
            for r in self._deployment.replicas.values()
            if r.model and r.state == 'ready' and r.version < self._stage.version
        ]


async def soak(
    seed: int, seconds: float = 8.0, routers: int = 3, rate: float = 40.0, logs: str = ''
) -> Report:
    """Play one seed; the routers' logs go to `logs` if a promise is broken."""
    with tempfile.TemporaryDirectory(prefix='passpier-soak-') as name:
        folder = pathlib.Path(name)
        report = await Soak(seed, routers, rate, folder).run(seconds)
        if report.broken and logs:
            shutil.copytree(folder, pathlib.Path(logs) / f'seed-{seed}', dirs_exist_ok=True)
        return report


def main(
    seed: int = 1,
    count: int = 1,
    seconds: float = 12.0,
    routers: int = 4,
    rate: float = 40.0,
    logs: str = 'target/soak',
) -> None:
    """Play `count` seeds from `seed` on; exit with 1 if a promise was broken."""
    # The stand-ins are meant to fail; each connection that breaks under them would be logged.
    logging.disable(logging.CRITICAL)
    broken = 0
    for number in range(seed, seed + count):
        report = asyncio.run(soak(number, seconds, routers, rate, logs))
        broken += bool(report.broken)
        print(report.render(), flush=True)
    sys.exit(1 if broken else 0)


if __name__ == '__main__':
    fire.Fire(main)
