"""Faults from outside against router processes, in seeded series that overlap."""

from __future__ import annotations

import asyncio
import dataclasses
import random
import signal
from collections.abc import Awaitable, Callable, Sequence

from passpier import clocks
from passpier.standins.platform import deployment, promises, proxy, replica, routers

TROUBLE_PAUSE = 0.4
"""Mean seconds between the starts of two troubles."""

REVOKE_AFTER = 12
"""Troubles after which a change of the configuration takes a key away."""

START_SECONDS = 0.5
"""Seconds that the code of a router takes to load."""

NAMING_PAUSES = (1.0, 5.0)
"""Least and most seconds between two namings of weights."""

SILENCE_PAUSES = (1.0, 5.0)
"""Least and most seconds between two times at which open connections fall silent."""

SILENCE_NOTICED = 3.5
"""Seconds in which time-outs and keep-alives have noticed a silent connection, as measured."""

STUCK_ORDERS = 1000
"""Orders without effect: more than are given in any play."""


Kind = Callable[[], Awaitable[None]]


@dataclasses.dataclass(slots=True)
class Stage:
    """What troubles act on."""

    deployment: deployment.Deployment
    routers: list[routers.RouterProcess]
    links: dict[str, proxy.Proxy]
    """Proxies before replicas, by the replicas' ids."""

    named: dict[int, float] = dataclasses.field(default_factory=dict)
    """The weights that were named, with the times."""

    @property
    def version(self) -> int:
        """The weights named last; replicas begin with 1."""
        return max(self.named, default=1)

    def name_version(self) -> None:
        """Name the next weights."""
        version = self.version + 1
        self.named[version] = clocks.now()
        self.deployment.name_version(version)

    async def put_behind_proxy(self, known: replica.Replica) -> None:
        """Record a replica at the address of a proxy of its own."""
        link = self.links[known.id] = proxy.Proxy(known.address)
        await link.start()
        known.address = link.address
        self.deployment.record(known.id)


class Troubles:
    """One series of troubles and what is known of it afterwards."""

    def __init__(self, stage: Stage, rng: random.Random) -> None:
        self.done: list[tuple[float, str]] = []
        """Seconds from the start, and what was done."""

        self.broken: list[str] = []
        self.revoked: dict[str, float] = {}
        self.thaws: list[promises.Thaw] = []
        self.disturbances: list[promises.Disturbance] = []
        self.unplanned: list[tuple[float, float]] = []
        """Begins and ends of what is no planned work."""

        self.stops: list[promises.Stop] = []
        self._stage = stage
        self._rng = rng
        self._spare = 0
        self._began = clocks.now()

    async def run(self, ends_at: float) -> None:
        """Begin one trouble after the other until `ends_at`; return when all are over."""
        kinds: list[Kind] = [
            self._pause_router,
            self._kill_router,
            self._stop_router,
            self._reload_router,
            self._disturb_link,
            self._disturb_link,
            self._disturb_link,
            self._spoil_answers,
            self._replace_replica,
            self._disturb_store,
            self._name_version,
            self._change_configuration,
        ]
        await self._run_kinds(kinds, ends_at)

    async def run_planned(self, ends_at: float) -> None:
        """Do the same with planned work only, stops aside."""
        kinds: list[Kind] = [
            self._reload_router,
            self._replace_replica,
            self._name_version,
            self._change_configuration,
        ]
        await self._run_kinds(kinds, ends_at)

    async def _run_kinds(self, kinds: Sequence[Kind], ends_at: float) -> None:
        begun: list[asyncio.Task[None]] = []
        while clocks.now() < ends_at:
            chosen = self._rng.choice(kinds)
            begun.append(asyncio.ensure_future(_run(chosen)))
            await asyncio.sleep(self._rng.expovariate(1 / TROUBLE_PAUSE))
        await asyncio.gather(*begun)

    def note(self, what: str, seconds: float | None = None) -> None:
        """Write down a trouble; `seconds` is how long unplanned trouble lasts."""
        now = clocks.now()
        self.done.append((round(now - self._began, 2), what))
        if seconds is not None:
            self.unplanned.append((now, now + seconds))

    def note_past(self, what: str, began: float) -> None:
        """Write down unplanned trouble that began some time ago and is over."""
        self.note(what)
        self.unplanned.append((began, clocks.now()))

    def note_thaw(self, name: str, began: float) -> None:
        """Note that a router which stood still goes on."""
        now = clocks.now()
        self.thaws.append(promises.Thaw(name, now))
        self.disturbances.append(promises.Disturbance(name, began, now))

    def _pick_router(self) -> routers.RouterProcess | None:
        free = [r for r in self._stage.routers if not r.busy]
        return self._rng.choice(free) if len(free) > 1 else None

    async def _pause_router(self) -> None:
        router = self._pick_router()
        if router is None:
            return
        router.busy = True
        seconds = self._rng.uniform(0.2, 4.5)
        self.note(f'{router.name} stands still for {seconds:.2f} s', seconds)
        began = clocks.now()
        router.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        router.send(signal.SIGCONT)
        self.note_thaw(router.name, began)
        router.busy = False

    async def _kill_router(self) -> None:
        router = self._pick_router()
        if router is None:
            return
        router.busy = True
        seconds = self._rng.uniform(0.0, 1.5)
        self.note(f'{router.name} is killed, back after {seconds:.2f} s', seconds + 2.0)
        router.kill()
        await asyncio.sleep(seconds)
        self.start(router)
        router.busy = False

    async def _stop_router(self) -> None:
        router = self._pick_router()
        if router is None:
            return
        router.busy = True
        self.note(f'{router.name} is stopped as planned')
        stop = promises.Stop(router.name, clocks.now())
        router.send(signal.SIGTERM)
        await self.end_stop(router, stop)

    async def end_stop(self, router: routers.RouterProcess, stop: promises.Stop) -> None:
        """Wait for the end of a stop, as the platform does, and start the router again."""
        self.stops.append(stop)
        while router.runs and clocks.now() < stop.at + routers.STOP_BOUND:
            await asyncio.sleep(0.02)
        if router.runs:
            self.broken.append(f'{router.name} did not end within {routers.STOP_BOUND} s')
            router.kill()
        stop.ended = clocks.now()
        self.start(router)
        router.busy = False

    def start(self, router: routers.RouterProcess) -> None:
        """Start a router again."""
        router.start()
        now = clocks.now()
        self.disturbances.append(promises.Disturbance(router.name, now, now + START_SECONDS))

    async def _reload_router(self) -> None:
        router = self._pick_router()
        if router is None or not router.hears(signal.SIGHUP):
            return
        router.slack = self._rng.randint(20, 60)
        self.note(f'{router.name} is told to reload')
        router.write_settings()
        router.send(signal.SIGHUP)

    async def _disturb_link(self) -> None:
        router = self._rng.choice(self._stage.routers)
        links = {
            f'{router.name} to the store': router.store_link,
            f'clients to {router.name}': router.client_link,
            **{f'link of replica {id}': link for id, link in self._stage.links.items()},
        }
        name = self._rng.choice(list(links))
        link = links[name]
        how = self._rng.choice(['delays', 'resets', 'cut out', 'cut back', 'silent'])
        seconds = self._rng.uniform(0.1, 3.0)
        self.note(f'{name}: {how} for {seconds:.2f} s', seconds)
        if how == 'resets':
            link.reset()
            return
        if how == 'delays':
            link.delay = self._rng.uniform(0.01, 0.3)
        link.cut = {
            'cut out': {proxy.Way.OUT},
            'cut back': {proxy.Way.BACK},
            'silent': set(proxy.Way),
        }.get(how, set())
        began = clocks.now()
        await asyncio.sleep(seconds)
        link.heal()
        held = [id for id, other in self._stage.links.items() if other is link]
        now = clocks.now()
        self.disturbances += [promises.Disturbance(id, began, now) for id in held]

    async def _spoil_answers(self) -> None:
        fault = self._rng.choice(['refuse', 'fail', 'lose', 'cut', 'swap', 'lie'])
        chosen = self._rng.choice(list(self._stage.deployment.replicas.values()))
        self.note(f'{chosen.id} will {fault}', 1.0)
        setattr(chosen.faults, fault, self._rng.randint(2, 6))

    async def _replace_replica(self) -> None:
        chosen = self._rng.choice(list(self._stage.deployment.replicas.values()))
        if chosen.state != 'ready':
            return
        await self.begin_replacement(chosen)
        await asyncio.sleep(self._rng.uniform(1.0, 3.0))
        self._stage.deployment.remove_replica(chosen.id)

    async def begin_replacement(self, chosen: replica.Replica) -> None:
        """Add a replica of the same kind, and have the chosen one drain."""
        self._spare += 1
        fresh = replica.Replica(
            f'spare-{self._spare}', chosen.service, chosen.zone, chosen.model, chosen.version
        )
        self.note(f'{fresh.id} comes for {chosen.id}, which drains')
        self._stage.deployment.add_replica(fresh)
        await self._stage.put_behind_proxy(fresh)
        chosen.state = 'draining'
        self._stage.deployment.record(chosen.id)

    async def _disturb_store(self) -> None:
        faults = self._stage.deployment.faults
        how = self._rng.choice(['down', 'slow', 'loses answers', 'forgets its history'])
        seconds = self._rng.uniform(0.2, 3.0)
        self.note(f'the store: {how} ({seconds:.2f} s)', seconds)
        if how == 'loses answers':
            faults.lose_answers = self._rng.randint(1, 3)
            faults.late_effects = self._rng.randint(0, 3)
        elif how == 'forgets its history':
            self._stage.deployment.meta.forget_history()
        else:
            faults.down = how == 'down'
            faults.delay = 0.2 if how == 'slow' else 0.0
            await asyncio.sleep(seconds)
            faults.down, faults.delay = False, 0.0

    async def _name_version(self) -> None:
        self._stage.name_version()
        self.note(f'weights {self._stage.version} are named')

    async def _change_configuration(self) -> None:
        accounts = self._stage.deployment.configuration['tenants']
        # Not early, or half of the requests would test nothing else any more.
        late = len(self.done) > REVOKE_AFTER
        if late and len(accounts) > 1:
            self.note('a key is taken away')
            self._stage.deployment.configure(tenants=accounts[:1])
            self.revoked['secret-2'] = clocks.now()
            return
        self.note('the configuration changes')
        self._stage.deployment.configure()


class WeightTroubles:
    """Names weights in quick succession while a replica takes orders and stays as it is."""

    def __init__(self, stage: Stage, rng: random.Random) -> None:
        self._stage = stage
        self._rng = rng

    async def run(self, ends_at: float) -> None:
        """Go on until `ends_at`; then the replica loads as it should."""
        engines = [r for r in self._stage.deployment.replicas.values() if r.model]
        stuck = self._rng.choice(engines)
        stuck.faults.stick = STUCK_ORDERS
        while clocks.now() < ends_at:
            self._stage.name_version()
            await asyncio.sleep(self._rng.uniform(*NAMING_PAUSES))
        stuck.faults.stick = 0


class SilenceTroubles:
    """Lets open connections of one link, some or all fall silent for good, while new ones work."""

    def __init__(self, stage: Stage, troubles: Troubles, rng: random.Random) -> None:
        self._stage = stage
        self._troubles = troubles
        self._rng = rng

    async def run(self, ends_at: float) -> None:
        """Go on until `ends_at`; return when the last silence has had time to be noticed."""
        while True:
            pause = self._rng.uniform(*SILENCE_PAUSES)
            if clocks.now() + pause >= ends_at:
                break
            await asyncio.sleep(pause)
            self._strike()
        await asyncio.sleep(SILENCE_NOTICED)

    def _strike(self) -> None:
        links = self._list_links()
        count = self._rng.choice([1, len(links) // 2, len(links)])
        self._troubles.note(f'{count} of {len(links)} links fall silent', SILENCE_NOTICED)
        now = clocks.now()
        for name in self._rng.sample(list(links), count):
            links[name].silence()
            self._troubles.disturbances.append(
                promises.Disturbance(name, now, now + SILENCE_NOTICED)
            )

    def _list_links(self) -> dict[str, proxy.Proxy]:
        """Return all links; those before replicas by the replicas' ids."""
        links = dict(self._stage.links)
        for router in self._stage.routers:
            links[f'{router.name} to the store'] = router.store_link
            links[f'clients to {router.name}'] = router.client_link
        return links


async def _run(trouble: Callable[[], Awaitable[None]]) -> None:
    await trouble()
