"""Keeps requests that end the replicas which run them from ending more: see `core.crashes`.

A run that breaks off is noted, and the replica asked whether it still lives. If it does not, all
live peers are told at once which requests were running there; reminders to a few peers at a time
repeat what matters, for those that could not be reached or have started since.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Sequence

from passpier import clocks
from passpier.core import crashes, fingerprints, lives, members, rendezvous
from passpier.daemon import messages, peers

log = logging.getLogger(__name__)

REMIND_INTERVAL = 0.5
"""Seconds between reminders to a few peers: an end that a peer was not told of, as behind a cut, is
known there a second or two after it can be reached."""


class Suspects:
    """One process's part in knowing which requests end replicas."""

    def __init__(
        self,
        membership: members.Membership,
        link: peers.Peers,
        has_ended: Callable[[lives.Life], Awaitable[bool]],
        choose_targets: Callable[[], list[members.Member]],
    ) -> None:
        self.crashes = crashes.Crashes()
        self._membership = membership
        self._peers = link
        self._has_ended = has_ended
        self._choose_targets = choose_targets
        self.on_end: Callable[[lives.Life, list[int]], None] = lambda life, under: None
        """Called with each end that was seen here, and the requests under it."""

        self.claim_trial: Callable[[int], Awaitable[bool]] = self._claim_by_rank
        """Asked before a request that is held back is run once more."""

        self._looking: set[asyncio.Task[None]] = set()
        link.handle(messages.Ended, self._take_ended)
        link.handle(messages.Trying, self._take_trying)

    def judge(self, fingerprint: int) -> crashes.Judgement:
        """Return whether a request may be sent now, and how."""
        return self.crashes.judge(fingerprint, clocks.now())

    async def judge_finally(self, fingerprint: int) -> crashes.Judgement:
        """Return the same right before a request is sent, when a trial must be claimed."""
        judgement = self.judge(fingerprint)
        if not judgement.is_trial or await self.claim_trial(fingerprint):
            return judgement
        return crashes.Judgement(judgement.ends, crashes.TRIAL_AFTER, 'its trial is over')

    def begin(self, fingerprint: int, judgement: crashes.Judgement, seconds: float) -> None:
        """Note that a request is about to be sent, with `seconds` left to it."""
        self.crashes.begin(fingerprint, clocks.now())
        if judgement.is_told:
            self._tell(messages.Trying(fingerprint, min(seconds, crashes.RUN_MAX)))

    def end(self, fingerprint: int) -> None:
        """Note that a send is over, one way or the other."""
        self.crashes.end(fingerprint)

    def note_broken(self, fingerprint: int, life: lives.Life) -> None:
        """Note that a run broke off as if the replica's process had ended."""
        if self.crashes.suspect(fingerprint, life, clocks.now()):
            task = asyncio.ensure_future(self._look(life))
            self._looking.add(task)
            task.add_done_callback(self._looking.discard)

    def note_well(self, fingerprint: int) -> None:
        """Note that a run ended well: the request caused none of the ends it was under."""
        if not self.crashes.count_ends(fingerprint):
            return
        now = clocks.now()
        ends = self.crashes.clear(fingerprint, now)
        fields = {'fingerprint': fingerprints.render_fingerprint(fingerprint), 'ends': ends}
        log.info('request cleared', extra=fields)
        if ends >= crashes.TOLD_LIVES:
            _, cleared = self.crashes.export(now)
            self._tell(messages.Ended([], cleared))

    def take_ends(
        self,
        ends: Sequence[crashes.End],
        source: str,
        cleared: Sequence[crashes.Clearing] = (),
    ) -> None:
        """Take over what others know."""
        news = self.crashes.merge(ends, cleared, clocks.now())
        self._log_suspects(news, source)

    async def run(self) -> None:
        """Remind others until cancelled."""
        while True:
            await asyncio.sleep(REMIND_INTERVAL)
            now = clocks.now()
            self.crashes.expire(now)
            ends, cleared = self.crashes.export(now)
            if ends or cleared:
                addresses = [m.peer for m in self._choose_targets()]
                self._peers.send_all(addresses, messages.Ended(ends, cleared))

    async def _look(self, life: lives.Life) -> None:
        if not await self._has_ended(life):
            under = self.crashes.withdraw(life)
            log.info('upstream lives', extra=_describe(life) | {'requests': len(under)})
            return
        under = self.crashes.confirm(life)
        log.warning('upstream ended', extra=_describe(life) | {'requests': len(under)})
        self._log_suspects(under, 'seen here')
        now = clocks.now()
        self.on_end(life, under)
        ends = [e for e in self.crashes.export_ends(under, now) if e.life == life]
        self._tell(messages.Ended(ends, []))

    async def _claim_by_rank(self, fingerprint: int) -> bool:
        """Leave trials to one daemon, as far as all see the same ones."""
        serving = self._membership.list_serving(clocks.now())
        names = [m.name for m in serving]
        return rendezvous.rank_names(str(fingerprint), names)[:1] == [self._membership.own.name]

    def _take_ended(self, sender: str, address: str, message: messages.Ended) -> None:
        self.take_ends(message.ends, sender, message.cleared)

    def _take_trying(self, sender: str, address: str, message: messages.Trying) -> None:
        self.crashes.note_elsewhere(message.fingerprint, clocks.now() + message.seconds)

    def _tell(self, message: messages.AnyMessage) -> None:
        alive = self._membership.list_alive(clocks.now())
        own = self._membership.own
        self._peers.send_all([m.peer for m in alive if m is not own], message)

    def _log_suspects(self, suspects: crashes.Suspects, source: str) -> None:
        """Log the requests that more than one process has ended under."""
        for fingerprint in suspects:
            ends = self.crashes.count_ends(fingerprint)
            if ends < crashes.TOLD_LIVES:
                continue
            log.warning(
                'request suspected',
                extra={
                    'fingerprint': fingerprints.render_fingerprint(fingerprint),
                    'ends': ends,
                    'held_back': ends >= crashes.LIVES,
                    'source': source,
                },
            )


def _describe(life: lives.Life) -> dict[str, object]:
    return {'upstream': life.id, 'born': life.born}
