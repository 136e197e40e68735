"""Prompt parts that crash every replica that begins to respond to them, in requests that differ.

Guards against crash-causing requests that are counted one by one. Requests with one part in common
crashed all five replicas of a service within 0.7 s, and again each time that they were back: each
had a body of its own, so that none was involved in more than two crashes.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import random

import pytest

from passpier import clocks
from passpier.clients import exchanges
from passpier.core import fingerprints
from passpier.platform import names
from passpier.standins.platform import deployment, replica
from passpier.tests.platform import crashes_tests, harness

log = logging.getLogger(__name__)

DEADLY = 'dead'
DOWNTIME = 3.0
"""Seconds for which a crashed replica is down."""

CONTACT_SECONDS = 3.0
"""Seconds after a crash in which all routers have to learn of it, as the platform sets them."""

CRASHES_UNTIL_KNOWN = 5
MAX_SENDS_AFTER = 3
"""How many requests with the part may reach replicas later than that."""

MIN_SERVED = 0.5
"""Share of sound requests that have to be served then, of those served without crashes."""

SOUND_RATE = 10.0
DEADLY_RATE = 2.5
"""Requests per second."""

SECONDS = 16.0


@dataclasses.dataclass
class Sent:
    """A request and its outcome."""

    id: str
    at: float
    status: int = 0
    retry_after: float = 0.0


class Traffic:
    """Sound and deadly requests of one account to random routers, no two alike."""

    def __init__(self, running: deployment.Deployment, position: int, seed: int) -> None:
        self._running = running
        self._position = position
        self._rng = random.Random(seed)
        self._number = 0
        self.sound: list[Sent] = []
        self.deadly: list[Sent] = []

    async def send(self, seconds: float, deadly_after: float) -> None:
        """Send requests for some seconds, the deadly ones after a while."""
        began = clocks.now()
        pending = []
        while clocks.now() < began + seconds:
            is_deadly = self._rng.random() < DEADLY_RATE / (DEADLY_RATE + SOUND_RATE)
            if not is_deadly or clocks.now() > began + deadly_after:
                pending.append(asyncio.ensure_future(self._send_one(is_deadly)))
            await asyncio.sleep(self._rng.expovariate(DEADLY_RATE + SOUND_RATE))
        await asyncio.gather(*pending)

    async def _send_one(self, is_deadly: bool) -> None:
        self._number += 1
        sent = Sent(f'{"deadly" if is_deadly else "sound"}-{self._number}', clocks.now())
        (self.deadly if is_deadly else self.sound).append(sent)
        parts = [f'{self._rng.randrange(4):x}aa', f'b{self._rng.randrange(6):x}', sent.id]
        if is_deadly:
            parts[self._position] = DEADLY
        prompt = ','.join(f'{part}:400' for part in parts)
        headers = [
            (names.MODEL, deployment.MODEL),
            (names.TOKEN_USAGE, '1200,20'),
            (names.PREFIX_HASHES, prompt),
        ]
        try:
            response = await self._running.ask(
                '/resume/x' if self._rng.random() < 0.5 else '/stream/x',
                self._rng.randrange(len(self._running.routers)),
                id=sent.id,
                headers=headers,
                body=sent.id.encode(),
                patience_ms=3000,
            )
        except exchanges.ExchangeError:
            return
        sent.status = response.status
        sent.retry_after = float(response.headers.get('Retry-After') or 0.0)

    def compute_served(self, since: float, until: float = float('inf')) -> float:
        """Return the share of sound requests sent in a period that were served."""
        sent = [s for s in self.sound if since <= s.at < until]
        return sum(s.status == 200 for s in sent) / len(sent)


@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize('position', [0, 1])
def test_part_that_crashes_replicas_is_soon_no_longer_sent(position: int, seed: int) -> None:
    """Guards against counting crashes by whole requests, when a part of them is the cause."""

    async def check(running: deployment.Deployment) -> None:
        for number in range(2, 5):
            zone = f'zone-{number % 2}'
            running.add_replica(replica.Replica(f'llm-{number}', 'llm', zone, deployment.MODEL))
        await running.wait_ready()
        running.crash_on_part(DEADLY, DOWNTIME)
        traffic = Traffic(running, position, seed)
        began = clocks.now()
        await traffic.send(SECONDS, deadly_after=2.0)
        crashes = crashes_tests.list_crash_times(running)
        known_at = crashes[:CRASHES_UNTIL_KNOWN][-1] + CONTACT_SECONDS
        late = [at for at in crashes_tests.list_send_times(running, 'deadly-') if at > known_at]
        served = traffic.compute_served(known_at + CONTACT_SECONDS)
        usual = traffic.compute_served(began, crashes[0] - 0.5)
        log.info('crashes %d, late %d, served %.2f', len(crashes), len(late), served)
        assert len(late) <= MAX_SENDS_AFTER
        assert served >= MIN_SERVED * usual

    harness.run_check(check, routers=4)


def make_headers(parts: str) -> list[tuple[str, str]]:
    return [
        (names.MODEL, deployment.MODEL),
        (names.TOKEN_USAGE, '800,20'),
        (names.PREFIX_HASHES, parts),
    ]


def test_stream_without_length_is_whole_at_the_end_of_its_connection() -> None:
    async def check(running: deployment.Deployment) -> None:
        for stand_in in running.replicas.values():
            stand_in.faults.unframed = True
        for path in ('/stream/x', '/resume/x'):
            reply = await running.ask(path, headers=make_headers('a:400,b:400'))
            assert reply.status == 200
            assert reply.body.count(b'data: piece') == 5

    harness.run_check(check)


def test_stream_without_length_that_ends_in_an_event_may_be_that_of_a_crash() -> None:
    """An orderly close inside an event was not counted as the end of a crashed replica."""

    async def check(running: deployment.Deployment) -> None:
        for stand_in in running.replicas.values():
            stand_in.faults.unframed = True
        running.crash_on_part(DEADLY, DOWNTIME)
        reply = await running.ask('/stream/x', headers=make_headers(f'{DEADLY}:400,b:400'))
        assert reply.status == 502
        (router,) = running.routers
        part = fingerprints.compute_part_fingerprint(deployment.MODEL, DEADLY)
        await harness.wait_for(lambda: router.suspects.crashes.count_crashes(part) == 1)

    harness.run_check(check)
