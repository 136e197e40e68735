"""Injects faults into router processes, their links, the store and replicas, in seeded series."""

from __future__ import annotations

import asyncio
import dataclasses
import random
import signal
from collections.abc import Awaitable, Callable, Sequence

from passpier import clocks
from passpier.standins.platform import deployment, invariants, proxy, replica, routers

MEAN_FAULT_INTERVAL = 0.4
"""Mean seconds between the starts of two faults, which may overlap."""

MEAN_INTERVAL_BESIDE_OUTAGES = 4.0
"""The same during outages of services, which are to be seen by routers that work."""

REVOKE_AFTER = 12
"""Number of faults after which a configuration change revokes a key."""

START_SECONDS = 0.5
"""Seconds that a router process takes to load its code."""

RELEASE_INTERVALS = (1.0, 5.0)
"""Minimum and maximum seconds between two releases of weights."""

SILENCE_INTERVALS = (1.0, 5.0)
"""Minimum and maximum seconds between two times at which open connections are silenced."""

SILENCE_DETECTION = 3.5
"""Measured seconds within which timeouts and keep-alives detect a silent connection."""

IGNORED_ORDERS = 1000
"""Number of orders to ignore: more than are sent in any run."""


FaultAction = Callable[[], Awaitable[None]]


@dataclasses.dataclass(slots=True)
class FaultTargets:
    """The components into which faults are injected."""

    deployment: deployment.Deployment
    routers: list[routers.RouterProcess]
    links: dict[str, proxy.Proxy]
    """Proxies in front of replicas, by replica id."""

    released: dict[int, float] = dataclasses.field(default_factory=dict)
    """Released weight versions with the times of their release."""

    @property
    def version(self) -> int:
        """The version released last; replicas start with 1."""
        return max(self.released, default=1)

    def release_version(self) -> None:
        """Release the next version of the weights."""
        version = self.version + 1
        self.released[version] = clocks.now()
        self.deployment.release_version(version)

    async def put_behind_proxy(self, target: replica.Replica) -> None:
        """Start a proxy for a replica and register the replica at the proxy's address."""
        link = self.links[target.id] = proxy.Proxy(target.address)
        await link.start()
        target.address = link.address
        self.deployment.write_entry(target.id)


class FaultInjector:
    """Injects a random series of faults and records them for the checks."""

    def __init__(self, targets: FaultTargets, rng: random.Random) -> None:
        self.applied: list[tuple[float, str]] = []
        """Seconds from the start, and a description of the fault."""

        self.violations: list[str] = []
        self.revoked: dict[str, float] = {}
        self.resumptions: list[invariants.Resumption] = []
        self.disturbances: list[invariants.Disturbance] = []
        self.unplanned: list[tuple[float, float]] = []
        """Starts and ends of faults that are not planned work."""

        self.stops: list[invariants.Stop] = []
        self._targets = targets
        self._rng = rng
        self._spare = 0
        self._began = clocks.now()

    async def run(self, ends_at: float) -> None:
        """Start one fault after the other until `ends_at`; return when all are over."""
        kinds: list[FaultAction] = [
            self._pause_router,
            self._kill_router,
            self._stop_router,
            self._reload_router,
            self._disturb_link,
            self._disturb_link,
            self._disturb_link,
            self._inject_replica_fault,
            self._replace_replica,
            self._disturb_store,
            self._release_version,
            self._change_configuration,
        ]
        await self._run_kinds(kinds, ends_at)

    async def run_planned(self, ends_at: float) -> None:
        """Do the same with planned work only, except stops."""
        kinds: list[FaultAction] = [
            self._reload_router,
            self._replace_replica,
            self._release_version,
            self._change_configuration,
        ]
        await self._run_kinds(kinds, ends_at)

    async def run_beside_outages(self, ends_at: float) -> None:
        """Do the same at longer intervals, with faults of routers, links and the store only."""
        kinds: list[FaultAction] = [
            self._pause_router,
            self._kill_router,
            self._stop_router,
            self._disturb_link,
            self._disturb_store,
        ]
        await self._run_kinds(kinds, ends_at, MEAN_INTERVAL_BESIDE_OUTAGES)

    async def _run_kinds(
        self,
        kinds: Sequence[FaultAction],
        ends_at: float,
        mean_interval: float = MEAN_FAULT_INTERVAL,
    ) -> None:
        started: list[asyncio.Task[None]] = []
        while clocks.now() < ends_at:
            chosen = self._rng.choice(kinds)
            started.append(asyncio.ensure_future(_run(chosen)))
            await asyncio.sleep(self._rng.expovariate(1 / mean_interval))
        await asyncio.gather(*started)

    def log_fault(self, what: str, seconds: float | None = None) -> None:
        """Record a fault; `seconds` is the duration of an unplanned one."""
        now = clocks.now()
        self.applied.append((round(now - self._began, 2), what))
        if seconds is not None:
            self.unplanned.append((now, now + seconds))

    def log_past_fault(self, what: str, began: float) -> None:
        """Record an unplanned fault that began some time ago and is over."""
        self.log_fault(what)
        self.unplanned.append((began, clocks.now()))

    def log_resumption(self, name: str, began: float) -> None:
        """Record that a paused router has been resumed."""
        now = clocks.now()
        self.resumptions.append(invariants.Resumption(name, now))
        self.disturbances.append(invariants.Disturbance(name, began, now))

    def _pick_router(self) -> routers.RouterProcess | None:
        free = [r for r in self._targets.routers if not r.busy]
        return self._rng.choice(free) if len(free) > 1 else None

    async def _pause_router(self) -> None:
        router = self._pick_router()
        if router is None:
            return
        router.busy = True
        seconds = self._rng.uniform(0.2, 4.5)
        self.log_fault(f'{router.name} is paused for {seconds:.2f} s', seconds)
        began = clocks.now()
        router.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        router.send(signal.SIGCONT)
        self.log_resumption(router.name, began)
        router.busy = False

    async def _kill_router(self) -> None:
        router = self._pick_router()
        if router is None:
            return
        router.busy = True
        seconds = self._rng.uniform(0.0, 1.5)
        self.log_fault(
            f'{router.name} is killed and restarted after {seconds:.2f} s', seconds + 2.0
        )
        router.kill()
        await asyncio.sleep(seconds)
        self.start(router)
        router.busy = False

    async def _stop_router(self) -> None:
        router = self._pick_router()
        if router is None:
            return
        router.busy = True
        self.log_fault(f'{router.name} is stopped (planned)')
        stop = invariants.Stop(router.name, clocks.now())
        router.send(signal.SIGTERM)
        await self.finish_stop(router, stop)

    async def finish_stop(self, router: routers.RouterProcess, stop: invariants.Stop) -> None:
        """Wait for the end of a stop, as the platform does, and restart the router."""
        self.stops.append(stop)
        while router.is_running and clocks.now() < stop.at + routers.STOP_BOUND:
            await asyncio.sleep(0.02)
        if router.is_running:
            self.violations.append(f'{router.name} did not exit within {routers.STOP_BOUND} s')
            router.kill()
        stop.ended = clocks.now()
        self.start(router)
        router.busy = False

    def start(self, router: routers.RouterProcess) -> None:
        """Restart a router."""
        router.start()
        now = clocks.now()
        self.disturbances.append(invariants.Disturbance(router.name, now, now + START_SECONDS))

    async def _reload_router(self) -> None:
        router = self._pick_router()
        if router is None or not router.handles_signal(signal.SIGHUP):
            return
        router.retry_slack = self._rng.randint(*routers.RETRY_SLACKS)
        self.log_fault(f'{router.name} is told to reload')
        router.write_settings()
        router.send(signal.SIGHUP)

    async def _disturb_link(self) -> None:
        router = self._rng.choice(self._targets.routers)
        links = {
            f'{router.name} to the store': router.store_link,
            f'clients to {router.name}': router.client_link,
            **{f'link of replica {id}': link for id, link in self._targets.links.items()},
        }
        name = self._rng.choice(list(links))
        link = links[name]
        how = self._rng.choice(['delays', 'resets', 'cut out', 'cut back', 'silent'])
        seconds = self._rng.uniform(0.1, 3.0)
        self.log_fault(f'{name}: {how} for {seconds:.2f} s', seconds)
        if how == 'resets':
            link.reset()
            return
        if how == 'delays':
            link.delay = self._rng.uniform(0.01, 0.3)
        link.cut = {
            'cut out': {proxy.Direction.OUT},
            'cut back': {proxy.Direction.BACK},
            'silent': set(proxy.Direction),
        }.get(how, set())
        began = clocks.now()
        await asyncio.sleep(seconds)
        link.heal()
        held = [id for id, other in self._targets.links.items() if other is link]
        now = clocks.now()
        self.disturbances += [invariants.Disturbance(id, began, now) for id in held]

    async def _inject_replica_fault(self) -> None:
        fault = self._rng.choice(['refuse', 'fail', 'lose', 'cut', 'swap', 'lie'])
        chosen = self._rng.choice(list(self._targets.deployment.replicas.values()))
        self.log_fault(f'{chosen.id}: fault {fault}', 1.0)
        setattr(chosen.faults, fault, self._rng.randint(2, 6))

    async def _replace_replica(self) -> None:
        chosen = self._rng.choice(list(self._targets.deployment.replicas.values()))
        if chosen.state != 'ready':
            return
        await self.begin_replacement(chosen)
        await asyncio.sleep(self._rng.uniform(1.0, 3.0))
        self._targets.deployment.remove_entry(chosen.id)

    async def begin_replacement(self, chosen: replica.Replica) -> None:
        """Add a replica of the same service, and let the chosen one drain."""
        self._spare += 1
        fresh = chosen.build_successor(f'spare-{self._spare}')
        self.log_fault(f'{fresh.id} replaces {chosen.id}, which drains')
        self._targets.deployment.add_replica(fresh)
        await self._targets.put_behind_proxy(fresh)
        chosen.state = 'draining'
        self._targets.deployment.write_entry(chosen.id)

    async def _disturb_store(self) -> None:
        faults = self._targets.deployment.faults
        how = self._rng.choice(['down', 'slow', 'loses answers', 'forgets its history'])
        seconds = self._rng.uniform(0.2, 3.0)
        self.log_fault(f'the store: {how} ({seconds:.2f} s)', seconds)
        if how == 'loses answers':
            faults.lose_answers = self._rng.randint(1, 3)
            faults.late_effects = self._rng.randint(0, 3)
        elif how == 'forgets its history':
            self._targets.deployment.store.compact_history()
        else:
            faults.down = how == 'down'
            faults.delay = 0.2 if how == 'slow' else 0.0
            await asyncio.sleep(seconds)
            faults.down, faults.delay = False, 0.0

    async def _release_version(self) -> None:
        self._targets.release_version()
        self.log_fault(f'weights {self._targets.version} are released')

    async def _change_configuration(self) -> None:
        accounts = self._targets.deployment.configuration['tenants']
        # Not early: half of the requests use this key and are only refused afterwards.
        late = len(self.applied) > REVOKE_AFTER
        if late and len(accounts) > 1:
            self.log_fault('a key is revoked')
            self._targets.deployment.configure(tenants=accounts[:1])
            self.revoked['secret-2'] = clocks.now()
            return
        self.log_fault('the configuration changes')
        self._targets.deployment.configure()


class RolloutInjector:
    """Releases weights in quick succession while one replica accepts orders and ignores them."""

    def __init__(self, targets: FaultTargets, rng: random.Random) -> None:
        self._targets = targets
        self._rng = rng

    async def run(self, ends_at: float) -> None:
        """Continue until `ends_at`; from then on the replica obeys orders again."""
        engines = [r for r in self._targets.deployment.replicas.values() if r.model]
        stuck = self._rng.choice(engines)
        stuck.faults.ignore_order = IGNORED_ORDERS
        while clocks.now() < ends_at:
            self._targets.release_version()
            await asyncio.sleep(self._rng.uniform(*RELEASE_INTERVALS))
        stuck.faults.ignore_order = 0


class SilenceInjector:
    """Silences the open connections of one link, half or all of them; new connections work."""

    def __init__(self, targets: FaultTargets, faults: FaultInjector, rng: random.Random) -> None:
        self._targets = targets
        self._faults = faults
        self._rng = rng

    async def run(self, ends_at: float) -> None:
        """Continue until `ends_at`; return when the last silence has had time to be detected."""
        while True:
            pause = self._rng.uniform(*SILENCE_INTERVALS)
            if clocks.now() + pause >= ends_at:
                break
            await asyncio.sleep(pause)
            self._silence_links()
        await asyncio.sleep(SILENCE_DETECTION)

    def _silence_links(self) -> None:
        links = self._list_links()
        count = self._rng.choice([1, len(links) // 2, len(links)])
        self._faults.log_fault(f'{count} of {len(links)} links fall silent', SILENCE_DETECTION)
        now = clocks.now()
        for name in self._rng.sample(list(links), count):
            links[name].silence()
            self._faults.disturbances.append(
                invariants.Disturbance(name, now, now + SILENCE_DETECTION)
            )

    def _list_links(self) -> dict[str, proxy.Proxy]:
        """Return all links by name; links in front of replicas by replica id."""
        links = dict(self._targets.links)
        for router in self._targets.routers:
            links[f'{router.name} to the store'] = router.store_link
            links[f'clients to {router.name}'] = router.client_link
        return links


async def _run(fault: Callable[[], Awaitable[None]]) -> None:
    await fault()
