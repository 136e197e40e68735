"""Puts router processes out of step: suspended, cut off from the registry, or both.

Connections between the processes have no proxy, so that these aren't cut off from each other.
"""

from __future__ import annotations

import asyncio
import dataclasses
import datetime
import random
import signal

from passpier import clocks
from passpier.standins.platform import fault_injection, proxy, releases, routers

KINDS = ('suspended', 'suspended', 'cut off from the registry', 'both')

SILENCE_SECONDS = 2.0
"""Seconds for which the registry stays silent after a suspension of the same router."""

MAX_SECONDS = 4.0
"""Maximum seconds for which a router is out of step, which count as an unplanned fault."""


class GapInjector:
    """Puts one or two routers out of step."""

    def __init__(
        self, targets: fault_injection.FaultTargets, faults: fault_injection.FaultInjector
    ) -> None:
        self._targets = targets
        self._faults = faults

    def open_gap(self, rng: random.Random) -> releases.Gap | None:
        """Put one or two routers out of step that no other fault is injected into."""
        free = [r for r in self._targets.routers if not r.busy]
        if len(free) < 2:
            return None
        chosen = rng.sample(free, rng.randint(1, min(2, len(free) - 1)))
        kind = rng.choice(KINDS)
        began = clocks.now()
        for router in chosen:
            self._faults.log_fault(f'{router.name} is out of step: {kind}', MAX_SECONDS)
            router.busy = True
            if kind != 'suspended':
                router.store_link.cut = set(proxy.Direction)
            if kind != 'cut off from the registry':
                router.send(signal.SIGSTOP)

        def end() -> None:
            for router in chosen:
                if kind == 'cut off from the registry':
                    _restore(router)
                    continue
                router.send(signal.SIGCONT)
                self._faults.log_resumption(router.name, began)
                delay = SILENCE_SECONDS if kind == 'both' else 0.0
                asyncio.get_running_loop().call_later(delay, _restore, router)

        return releases.Gap([r.name for r in chosen], end)


def _restore(router: routers.RouterProcess) -> None:
    router.store_link.heal()
    router.busy = False


@dataclasses.dataclass(frozen=True, slots=True)
class Lookup:
    """A router's log line of where a stream began; times are seconds of Unix time."""

    service: str
    source: str
    at: float
    proved_at: float
    """The time for which the router's state of the registry was proved."""


def list_lookups(router: routers.RouterProcess) -> list[Lookup]:
    """Return the lookups of streams that a router has logged."""
    lookups = []
    for event in ('stream origin found', 'stream origin unknown'):
        for line in router.list_events(event):
            at = datetime.datetime.strptime(line['time'], '%Y-%m-%d %H:%M:%S,%f').timestamp()
            proved_at = at - line['seconds'] - line['registry_age']
            lookups.append(Lookup(line['service'], line['source'], at, proved_at))
    return lookups
