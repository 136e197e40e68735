"""The report of a simulation of the fleet."""

from __future__ import annotations

import collections
import dataclasses


@dataclasses.dataclass(slots=True)
class Report:
    """The results of a simulation."""

    kinds: list[str]
    """The kinds of requests, which are the keys of the counters."""

    requests: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    late: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    """Requests that missed their objective, including refused ones."""

    refused: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    paused: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    """Requests that met their objective but had too long a pause in their stream."""

    first_token_times: dict[str, list[float]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    """Seconds to the first token of each served request."""

    refusal_wait: float = 0.0
    """Total seconds that refused requests waited for their refusal."""

    prefilled_tokens: int = 0
    cached_tokens: int = 0
    transfers: int = 0
    engine_refusals: int = 0
    max_load_ratio: float = 0.0
    """Prefill time of the busiest engine as a multiple of the mean."""

    messages: int = 0
    placement_seconds: float = 0.0
    """Mean processor time of a placement in seconds."""

    def compute_late_share(self, kind: str) -> float:
        """Return the share of requests of a kind that missed their objective."""
        return self.late[kind] / self.requests[kind] if self.requests[kind] else 0.0

    def compute_paused_share(self, kind: str) -> float:
        """Return the share of requests of a kind whose streams paused for too long."""
        return self.paused[kind] / self.requests[kind] if self.requests[kind] else 0.0

    def render(self) -> str:
        """Return the report as text."""
        lines = []
        for kind in self.kinds:
            times = sorted(self.first_token_times[kind]) or [0.0]
            lines.append(
                f'  {kind:6} {self.requests[kind]:6} asked, '
                f'late {self.compute_late_share(kind):.3f}, '
                f'paused {self.compute_paused_share(kind):.3f}, '
                f'{self.refused[kind]} of them refused, '
                f'p50 {times[len(times) // 2] * 1000:.0f} ms, '
                f'p99 {times[int(len(times) * 0.99)] * 1000:.0f} ms'
            )
        cached = self.cached_tokens / max(1, self.cached_tokens + self.prefilled_tokens)
        lines.append(
            f'  read {self.prefilled_tokens / 1e6:.2f} M tokens, found {cached:.3f} cached, '
            f'{self.transfers} moves, {self.engine_refusals} turned away, '
            f'{self.refusal_wait:.1f} s waited in vain, '
            f'busiest/mean {self.max_load_ratio:.2f}, {self.messages} messages, '
            f'{self.placement_seconds * 1e6:.0f} us a choice'
        )
        return '\n'.join(lines)
