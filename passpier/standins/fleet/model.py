"""Plays traffic on a fleet of routers' decisions and engines, in virtual time, without sockets.

Each router has the product's own objects: upstreams, view of caches, sources, dispatcher, exchange
of loads and placements. Only links, engines and clients are models. It shows in seconds what a
change of a decision does at a size that no machine here can run as processes.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import logging
import random
import statistics
import time

import fire

from passpier.config import declarations
from passpier.core import attempts, catalogue, members, pauses, prompts, replicas, routes
from passpier.daemon import calls, dispatcher, loads, messages, metrics, peers
from passpier.routing import pools, requests, router, sharing, sources
from passpier.standins import network, virtual
from passpier.standins.fleet import engines, traffic

SERVICE = 'llm'
WAY = 0.0035
"""Seconds from a client to a router and on to an engine."""

TRIES = 3
"""Times that a request which was refused as not run is placed."""

WARM_UP = 0.25
"""Part of the play that is not counted: all begins cold."""


@dataclasses.dataclass(slots=True)
class Report:
    """What a play showed."""

    asked: dict[str, int]
    late: dict[str, int]
    firsts: dict[str, list[float]]
    refused: dict[str, int] = dataclasses.field(default_factory=dict)
    waited_in_vain: float = 0.0
    """Seconds that refused requests waited for their refusal, all together."""

    read_tokens: int = 0
    found_tokens: int = 0
    moves: int = 0
    turned_away: int = 0
    busiest: float = 0.0
    """How much longer than the mean the busiest engine has read."""

    messages: int = 0
    choice_seconds: float = 0.0
    """Mean processor time of a placement."""

    def compute_late_share(self, kind: str) -> float:
        """Return the share of requests of a kind that missed their objective."""
        return self.late[kind] / self.asked[kind] if self.asked[kind] else 0.0

    def render(self) -> str:
        """Return the report as text."""
        lines = []
        for kind in self.asked:
            times = sorted(self.firsts[kind]) or [0.0]
            lines.append(
                f'  {kind:6} {self.asked[kind]:6} asked, late {self.compute_late_share(kind):.3f}, '
                f'{self.refused[kind]} of them refused, '
                f'p50 {times[len(times) // 2] * 1000:.0f} ms, '
                f'p99 {times[int(len(times) * 0.99)] * 1000:.0f} ms'
            )
        cached = self.found_tokens / max(1, self.found_tokens + self.read_tokens)
        lines.append(
            f'  read {self.read_tokens / 1e6:.2f} M tokens, found {cached:.3f} cached, '
            f'{self.moves} moves, {self.turned_away} turned away, '
            f'{self.waited_in_vain:.1f} s waited in vain, '
            f'busiest/mean {self.busiest:.2f}, {self.messages} messages, '
            f'{self.choice_seconds * 1e6:.0f} us a choice'
        )
        return '\n'.join(lines)


class Members:
    """The part of a roster that exchanges need: who else takes requests."""

    def __init__(self, membership: members.Membership, link: network.Link) -> None:
        self.membership = membership
        self._link = link

    def tell_interested(self, message: messages.AnyMessage, most: int = 128) -> None:
        """Send a message to all others that take requests, unless there are more than `most`."""
        interested = self.membership.list_interested(time.monotonic())
        if len(interested) <= most:
            self._link.send_all([m.peer for m in interested], message)


class Router:
    """One router's decisions."""

    def __init__(
        self,
        own: members.Member,
        fleet: list[members.Member],
        net: network.Network,
        pool: list[engines.Engine],
        rng: random.Random,
    ) -> None:
        now = time.monotonic()
        self.pools = pools.Pools(10.0)
        self.pools.apply_configuration(_build_configuration(pool))
        for engine in pool:
            entry = catalogue.Entry(
                engine.name,
                SERVICE,
                f'{engine.name}:1',
                engine.domain,
                engine.speed.slots,
                False,
                {'m': 1},
            )
            self.pools.apply_change(catalogue.Change(engine.name, entry, 'model'))
            # As after some minutes of traffic.
            self.pools.get(engine.name).seconds_per_token = 1 / engine.speed.read_rate
        self.membership = members.Membership(own, 1e6, now)
        for member in fleet:
            self.membership.add(member, now)
        beats = [members.Beat(m.incarnation, 1, rate=10.0) for m in fleet]
        self.membership.merge(beats, now)
        self.membership.advance(now, 0, 0, 0, False, 10.0)
        self.link = net.connect(own)
        link: peers.Peers = self.link  # type: ignore[assignment]
        self.loads = loads.Loads(self.membership, self.pools, link, router.LOADS_INTERVAL)
        self.sharing = sharing.Sharing(
            sources.Sources(self.pools),
            Members(self.membership, self.link),  # type: ignore[arg-type]
            link,
        )
        self.dispatcher = dispatcher.Dispatcher(self.pools, metrics.Metrics(), rng)


class Fleet:
    """All routers and engines of one play."""

    def __init__(self, routers: int, replicas: int, domains: int, seed: int) -> None:
        self._rng = random.Random(seed)
        self._net = network.Network(self._rng)
        speed = engines.Speed()
        self.engines = [engines.Engine(f'r{n}', f'd{n % domains}', speed) for n in range(replicas)]
        self._by_address = {f'{e.name}:1': e for e in self.engines}
        fleet = [
            members.Member(f'vm-{n}', f'i{n:04}', '10.0.0.1', n, 1000 + n, f'd{n % domains}')
            for n in range(routers)
        ]
        self.routers = [Router(m, fleet, self._net, self.engines, self._rng) for m in fleet]
        self._kinds = traffic.build_kinds(0.0, replicas)
        self._number = 0
        self._placing = 0.0
        self._placed = 0
        self.report = Report({}, {}, {})

    async def play(self, rate: float, seconds: float, renew: float) -> Report:
        """Play traffic; new weights are loaded in rounds every `renew` seconds, if it is not 0."""
        kinds = traffic.build_kinds(rate, len(self.engines))
        for kind in kinds:
            self.report.asked[kind.name] = self.report.late[kind.name] = 0
            self.report.refused[kind.name] = 0
            self.report.firsts[kind.name] = []
        tasks = [asyncio.ensure_future(r.loads.run()) for r in self.routers]
        tasks += [asyncio.ensure_future(r.sharing.run()) for r in self.routers]
        if renew:
            tasks.append(asyncio.ensure_future(self._renew(renew)))
        asking: set[asyncio.Task[None]] = set()
        loop = asyncio.get_running_loop()
        started = loop.time()
        for arrival in traffic.Traffic(kinds, self._rng).generate(seconds):
            await asyncio.sleep(max(0.0, started + arrival.at - loop.time()))
            counts = arrival.at > seconds * WARM_UP
            task = asyncio.ensure_future(self._ask(self._rng.choice(self.routers), arrival, counts))
            asking.add(task)
            task.add_done_callback(asking.discard)
        await asyncio.gather(*asking)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._sum_up()
        return self.report

    async def _ask(self, chosen: Router, arrival: traffic.Arrival, counts: bool) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        first = await self._serve(chosen, arrival, began)
        if not counts:
            return
        kind = arrival.kind.name
        self.report.asked[kind] += 1
        if first is None:
            self.report.refused[kind] += 1
            self.report.waited_in_vain += loop.time() - began
        else:
            self.report.firsts[kind].append(first - began)
        if first is None or first - began > arrival.kind.objective:
            self.report.late[kind] += 1

    async def _serve(self, chosen: Router, arrival: traffic.Arrival, began: float) -> float | None:
        call = _build_call(f'q{self._number}', arrival, began)
        self._number += 1
        await asyncio.sleep(WAY)
        excluded: set[str] = set()
        for number in range(TRIES):
            attempt = f'{call.id}-{number}'
            clock = time.process_time()
            placed = await chosen.dispatcher.place(call, attempt, excluded)
            self._placing += time.process_time() - clock
            self._placed += 1
            if placed.is_error():
                return None
            placement = placed.ok
            try:
                return await self._run(chosen, placement, arrival)
            except engines.FullError:
                excluded.add(placement.replica.name)
                chosen.pools.pause(
                    placement.replica.name, pauses.Pause.FULL, pools.PAUSE_FULL, 'full'
                )
        return None

    async def _run(
        self, chosen: Router, placement: dispatcher.Placement, arrival: traffic.Arrival
    ) -> float:
        replica = placement.replica
        job = placement.call.job
        loop = asyncio.get_running_loop()
        engine = self._by_address[replica.address]
        salt = prompts.render_salt(None, 'm', replica.weight_version)
        source = chosen.sharing.sources.choose(replica, job, arrival.prompt, salt)
        run = engines.Run(
            [(f'{salt}/{p.name}', p.tokens) for p in arrival.prompt.parts],
            arrival.output,
            arrival.kind.priority,
            self._by_address.get(source.fetch),
            loop.create_future(),
            loop.create_future(),
        )
        try:
            await asyncio.sleep(WAY)
            engine.submit(run)
            first = await run.first
            await asyncio.sleep(WAY)
            replicas.note_first_token(replica, placement.attempt, loop.time())
            chosen.sharing.note_placed(replica, job)
            await run.ended
            return first + 2 * WAY
        finally:
            chosen.dispatcher.end(placement)

    async def _renew(self, pause: float) -> None:
        version = 1
        while True:
            await asyncio.sleep(pause)
            version += 1
            order = self._rng.sample(self.engines, len(self.engines))
            at_once = max(1, int(len(order) * 0.4))
            for start in range(0, len(order), at_once):
                chosen = order[start : start + at_once]
                await asyncio.gather(*(self._load(e, version) for e in chosen))

    async def _load(self, engine: engines.Engine, version: int) -> None:
        for one in self.routers:
            one.pools.pause(
                engine.name, pauses.Pause.LOADING, pools.PAUSE_LOADING, 'loads', version
            )
        with contextlib.suppress(asyncio.CancelledError):
            await engine.load(version)
        for one in self.routers:
            one.pools.learn_version(engine.name, version, 'model')

    def _sum_up(self) -> None:
        report = self.report
        report.read_tokens = sum(e.read for e in self.engines)
        report.found_tokens = sum(e.found for e in self.engines)
        report.moves = sum(e.moves for e in self.engines)
        report.turned_away = sum(e.refused for e in self.engines)
        busy = [e.busy for e in self.engines]
        report.busiest = max(busy) / max(1e-9, statistics.mean(busy))
        report.messages = self._net.carried
        report.choice_seconds = self._placing / max(1, self._placed)


def _build_configuration(pool: list[engines.Engine]) -> routes.Configuration:
    speed = pool[0].speed
    engine = routes.Engine(('m',), speed.slots, speed.memory)
    return routes.Configuration(1, services={SERVICE: routes.Service(SERVICE, 0, engine)})


def _build_call(id: str, arrival: traffic.Arrival, began: float) -> calls.Call:
    kind = arrival.kind
    declared = declarations.Service(
        SERVICE,
        SERVICE,
        'model',
        priority=kind.priority,
        deadline_ms=int(kind.objective * requests.HOLD_SHARE * 1000),
    )
    call = calls.Call(
        id, declarations.Account(''), declared, '/', 'cost', began, attempts.Life(False, False)
    )
    call.job = prompts.build_job(arrival.prompt, None, kind.priority)
    return call


def play(
    routers: int = 18,
    replicas: int = 59,
    domains: int = 6,
    rate: float = 4.75,
    seconds: float = 20.0,
    renew: float = 8.0,
    seed: int = 1,
) -> Report:
    """Play one seed in virtual time."""
    steady = time.monotonic

    async def run() -> Report:
        loop = asyncio.get_running_loop()
        time.monotonic = loop.time
        try:
            return await Fleet(routers, replicas, domains, seed).play(rate, seconds, renew)
        finally:
            time.monotonic = steady

    return virtual.run(run())


def main(
    routers: int = 18,
    replicas: int = 59,
    domains: int = 6,
    rate: float = 4.75,
    seconds: float = 20.0,
    renew: float = 8.0,
    seed: int = 1,
    count: int = 1,
) -> None:
    """Play `count` seeds; `rate` is in requests a second at each replica, `renew` in seconds."""
    logging.disable(logging.CRITICAL)
    for number in range(seed, seed + count):
        began = time.monotonic()
        report = play(routers, replicas, domains, rate, seconds, renew, number)
        print(
            f'{routers} routers, {replicas} replicas, seed {number}, '
            f'{time.monotonic() - began:.0f} s to play'
        )
        print(report.render(), flush=True)


if __name__ == '__main__':
    fire.Fire(main)
