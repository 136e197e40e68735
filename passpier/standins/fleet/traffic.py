"""Traffic of prompts with shared prefixes (families), as in the platform's data sheets."""

from __future__ import annotations

import dataclasses
import math
import random
from collections.abc import Iterator

from passpier.core import prompts


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request; token counts are means, spreads are standard deviations of logarithms."""

    name: str
    rate: float
    """Requests a second over all routers."""

    priority: int
    objective: float
    """Target time to the first token in seconds."""

    preambles: int
    preamble_tokens: int
    families: int
    family_tokens: int
    own_tokens: int
    output: int
    preamble_spread: float = 0.4
    family_spread: float = 0.7
    own_spread: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request and its arrival time."""

    at: float
    kind: Kind
    prompt: prompts.Prompt
    output: int


def _draw_log_normal(rng: random.Random, mean: float, spread: float, most: float) -> int:
    """Draw from a log-normal distribution with a given mean."""
    value = rng.lognormvariate(math.log(mean) - spread * spread / 2, spread)
    return max(1, int(min(value, most)))


class Traffic:
    """Random arrivals of all kinds of requests."""

    def __init__(self, kinds: tuple[Kind, ...], rng: random.Random) -> None:
        self._kinds = kinds
        self._rng = rng
        self._preambles = {
            k.name: [
                _draw_log_normal(rng, k.preamble_tokens, k.preamble_spread, 2.5 * k.preamble_tokens)
                for _ in range(k.preambles)
            ]
            for k in kinds
        }
        self._families = {
            k.name: [
                _draw_log_normal(rng, k.family_tokens, k.family_spread, 3 * k.family_tokens)
                for _ in range(k.families)
            ]
            for k in kinds
        }
        self._number = 0

    def generate(self, seconds: float) -> Iterator[Arrival]:
        """Yield the arrivals of `seconds` in order of time."""
        total = sum(k.rate for k in self._kinds)
        at = 0.0
        while (at := at + self._rng.expovariate(total)) < seconds:
            kind = self._rng.choices(self._kinds, [k.rate for k in self._kinds])[0]
            yield Arrival(at, kind, self._build_prompt(kind), max(1, kind.output))

    def _build_prompt(self, kind: Kind) -> prompts.Prompt:
        self._number += 1
        family = self._rng.randrange(kind.families)
        preamble = family % kind.preambles
        own = _draw_log_normal(self._rng, kind.own_tokens, kind.own_spread, 14 * kind.own_tokens)
        parts = (
            prompts.Part(f'{kind.name}/p{preamble}', self._preambles[kind.name][preamble]),
            prompts.Part(f'{kind.name}/f{family}', self._families[kind.name][family]),
            prompts.Part(f'{kind.name}/o{self._number}', own),
        )
        return prompts.Prompt('m', parts, kind.output)


def build_kinds(rate: float, replicas: int) -> tuple[Kind, ...]:
    """Return the kinds of long and short prompts for a pool, `rate` requests a second and replica.

    As in the platform's data sheet, half of the requests are long prompts with little output, half
    are short ones with more. There are about 22 long and 31 short families for each replica.
    """
    long = Kind(
        'long', rate * replicas * 0.52, 1, 0.6, 4, 2520, max(4, 22 * replicas), 3780, 2890, 7
    )
    short = Kind(
        'short', rate * replicas * 0.48, 0, 0.5, 6, 119, max(6, 31 * replicas), 79, 628, 42
    )
    return long, short
