"""Checks the order and completeness of the chunks of an attempt."""

from __future__ import annotations

import enum

import msgspec


class Verdict(enum.Enum):
    """What to do with a chunk."""

    DELIVER = 'deliver'
    DROP = 'drop'
    GAP = 'gap'


class Tracker(msgspec.Struct):
    """Tracks the chunks of one attempt; `next_sequence` is the next one expected."""

    attempt: str
    next_sequence: int = 0
    dropped: int = 0
    ended: bool = False

    def check(self, attempt: str, sequence: int, final: bool) -> Verdict:
        """Decide on a chunk by its attempt id and sequence number."""
        if attempt != self.attempt or sequence < self.next_sequence or self.ended:
            self.dropped += 1
            return Verdict.DROP
        if sequence > self.next_sequence:
            return Verdict.GAP
        if final:
            self.ended = True
        else:
            self.next_sequence += 1
        return Verdict.DELIVER
