"""Progress of a request over its attempts: the next step after a fault, and its outcome."""

from __future__ import annotations

import enum

import msgspec

from passpier import exceptions

MAX_ATTEMPTS = 4
MAX_RESUMES = 2

MAX_RETURNS = 3
"""Maximum number of further attempts at replicas that the request has already been sent to."""


class Fault(enum.Enum):
    """How an attempt can fail, by what that implies for a run at the upstream."""

    NOT_CONNECTED = 'not_connected'
    """Nothing reached the upstream."""

    REFUSED = 'refused'
    """The upstream reported that it didn't run the request."""

    FAILED = 'failed'
    """The upstream responded with an error that doesn't tell whether the request ran."""

    NO_ANSWER = 'no_answer'
    """The request was sent, but there was no response."""

    INTERRUPTED = 'cut'
    """The stream ended early, skipped a chunk or stalled."""

    WRONG_VERSION = 'wrong_version'
    """The response came from other weights than requested; none of it was delivered."""


class Step(enum.Enum):
    """What to do next."""

    RETRY = 'retry'
    """Send the request again, to another replica if there is one."""

    RESUME = 'resume'
    """Resume the same stream at the same engine from the next chunk."""

    CONTINUE = 'continue'
    """Continue at another replica after the part that was already delivered."""

    FAIL = 'fail'


NOT_RUN_FAULTS = frozenset({Fault.NOT_CONNECTED, Fault.REFUSED})
"""Faults after which the request has certainly not run."""

_RESUMABLE_FAULTS = frozenset({Fault.INTERRUPTED, Fault.NO_ANSWER})


class RequestProgress(msgspec.Struct):
    """The attempts at one request so far."""

    repeatable: bool
    resumable: bool = True
    continuable: bool = True
    attempts: int = 0
    resumes: int = 0
    delivered: int = 0
    may_have_run: bool = False
    completed: bool = False
    max_attempts: int = MAX_ATTEMPTS
    """Maximum number of attempts at replicas that the request was not sent to before."""

    @property
    def may_reach_others(self) -> bool:
        """Whether the next attempt may be at a replica that the request was not sent to before."""
        return self.attempts < self.max_attempts

    @property
    def outcome(self) -> exceptions.Outcome:
        """What is certain about the execution of the request."""
        if self.completed:
            return exceptions.Outcome.RAN
        if self.may_have_run:
            return exceptions.Outcome.UNKNOWN
        return exceptions.Outcome.NOT_RUN

    def begin(self) -> None:
        """Record that an attempt is about to be sent, after which the request may run."""
        self.attempts += 1

    def decide(self, fault: Fault, has_budget: bool) -> Step:
        """Return the next step after a fault of the current attempt."""
        ran_before = self.may_have_run
        if fault not in NOT_RUN_FAULTS:
            self.may_have_run = True
        if fault in _RESUMABLE_FAULTS and self.resumable and self.resumes < MAX_RESUMES:
            # Resuming a stream at its engine is not a second run, so any request may do it.
            self.resumes += 1
            return Step.RESUME
        returns = MAX_RETURNS if self._may_return(fault) else 0
        if self.attempts >= self.max_attempts + returns or not has_budget:
            return Step.FAIL
        if not self.repeatable and (ran_before or self.may_have_run):
            return Step.FAIL
        if not self.delivered:
            return Step.RETRY
        return Step.CONTINUE if self.continuable else Step.FAIL

    def _may_return(self, fault: Fault) -> bool:
        """Return whether a replica may get the request again after it has tried all it may reach.

        The replica that ran it may well be alive, and the client, who can't be told that the
        request has not run, would lose what it already has. After a failure without anything
        delivered, the client gets that failure instead.
        """
        return self.delivered > 0 or (self.may_have_run and fault in NOT_RUN_FAULTS)
