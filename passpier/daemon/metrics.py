"""Prometheus metrics of the daemon."""

from __future__ import annotations

import time

import aioprometheus

SECONDS_BUCKETS = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 1.3, 2.0, 5.0, 10.0)
GAP_BUCKETS = (0.005, 0.01, 0.02, 0.048, 0.1, 0.2, 0.5, 1.0)


class BufferedCounter:
    """Accumulates frequent increments of a counter until the metrics are read.

    An increment of the counter itself takes as long as sending a small message.
    """

    def __init__(self, counter: aioprometheus.Counter, labels: dict[str, str]) -> None:
        self._counter = counter
        self._labels = labels
        self._amount = 0

    def add(self, amount: int) -> None:
        """Add to the counter."""
        self._amount += amount

    def flush(self) -> None:
        """Add the accumulated amount to the counter."""
        if self._amount:
            self._counter.add(self._labels, self._amount)
            self._amount = 0


class Metrics:
    """All metrics of one daemon, in a separate registry."""

    def __init__(self) -> None:
        self._buffered: list[BufferedCounter] = []
        registry = self.registry = aioprometheus.Registry()
        self.first_token = aioprometheus.Histogram(
            'passpier_first_token_seconds',
            'Time from the request to its first token, by service.',
            registry=registry,
            buckets=list(SECONDS_BUCKETS),
        )
        self.answer_seconds = aioprometheus.Histogram(
            'passpier_answer_seconds',
            'Time from a whole request to the end of its answer, by status.',
            registry=registry,
            buckets=list(SECONDS_BUCKETS),
        )
        self.token_gap = aioprometheus.Histogram(
            'passpier_token_gap_seconds',
            'Time between tokens, by service.',
            registry=registry,
            buckets=list(GAP_BUCKETS),
        )
        self.requests = _build_counter(
            registry, 'passpier_requests_total', 'Requests answered, by service and outcome.'
        )
        self.refusals = _build_counter(
            registry, 'passpier_refusals_total', 'Requests not answered, by code and outcome.'
        )
        self.admission_refusals = _build_counter(
            registry,
            'passpier_admission_refusals_total',
            'Requests refused under scarcity, by reason and priority.',
        )
        self.prompt_tokens = _build_counter(
            registry, 'passpier_prompt_tokens_total', 'Prompt tokens, by kind: cached, computed.'
        )
        self.wasted_tokens = _build_counter(
            registry, 'passpier_wasted_tokens_total', 'Tokens computed though held elsewhere.'
        )
        self.suspended_seconds = _build_counter(
            registry, 'passpier_suspended_seconds_total', 'Seconds for which the VM was suspended.'
        )
        self.retries = _build_counter(
            registry, 'passpier_retries_total', 'Further attempts, by step.'
        )
        self.retries_sent = _build_counter(
            registry, 'passpier_retries_sent_total', 'Requests sent to a replica again, by service.'
        )
        self.retries_withdrawn = _build_counter(
            registry,
            'passpier_retries_withdrawn_total',
            'Retries withdrawn before they were sent, by service.',
        )
        self.attempts_unanswered = _build_counter(
            registry,
            'passpier_attempts_unanswered_total',
            'Attempts given up of which the replica had sent nothing, by service.',
        )
        self.attempts_late = _build_counter(
            registry,
            'passpier_attempts_late_total',
            'Attempts of repeated requests that a replica may have read over 0.5 s after they were '
            'sent, by service.',
        )
        self.retries_left = _build_gauge(
            registry,
            'passpier_retries_left',
            'Retries that the shared budget leaves to this process, by service.',
        )
        self.retries_held = _build_gauge(
            registry,
            'passpier_retries_held',
            'Retries held for attempts that have not been sent, by service.',
        )
        self.retries_unanswered = _build_gauge(
            registry,
            'passpier_retries_unanswered',
            'Retries that were sent and may still arrive, by service.',
        )
        self.retries_limit = _build_gauge(
            registry,
            'passpier_retries_limit',
            'Retries that the shared budget lets this process save, by service.',
        )
        self.retry_sharers = _build_gauge(
            registry, 'passpier_retry_sharers', 'Processes assumed to share the retry budget.'
        )
        self.refused_records = _build_counter(
            registry, 'passpier_refused_records_total', 'Records that say nothing, by kind.'
        )
        self.registry_returns = _build_counter(
            registry,
            'passpier_registry_returns_total',
            'Times that the registry returned from an older copy.',
        )
        self.control_bytes = _build_counter(
            registry, 'passpier_control_bytes_total', 'Bytes of control traffic, by channel.'
        )
        self.dropped_chunks = _build_counter(
            registry, 'passpier_dropped_chunks_total', 'Chunks of other attempts, or repeated.'
        )
        self.queued = _build_gauge(registry, 'passpier_queued', 'Requests waiting, by pool.')
        self.demand_messages = _build_counter(
            registry, 'passpier_demand_messages_total', 'Messages on demand, by direction.'
        )
        self.demand_vms = _build_gauge(
            registry, 'passpier_demand_vms', 'VMs whose demand is known, by pool.'
        )
        self.expected_wait = _build_gauge(
            registry,
            'passpier_expected_wait_seconds',
            'Expected wait of the last request that found no room, by pool and priority.',
        )
        self.memory_waits = _build_counter(
            registry,
            'passpier_memory_waits_total',
            'Requests that waited for KV memory of a replica, by service.',
        )
        self.in_flight = _build_gauge(registry, 'passpier_in_flight', 'Requests running.')
        self.buffered_bytes = _build_gauge(
            registry,
            'passpier_buffered_bytes',
            'Bytes of requests and responses buffered for slow clients and replicas.',
        )
        self.revision = _build_gauge(
            registry, 'passpier_configuration_revision', 'Configuration revision in force.'
        )
        self.upstreams = _build_gauge(
            registry, 'passpier_upstreams', 'Upstreams by state: serving, leaving, ejected.'
        )
        self.reserved_replicas = _build_gauge(
            registry,
            'passpier_reserved_replicas',
            'Replicas reserved for short urgent prompts, by service.',
        )
        self.members = _build_gauge(registry, 'passpier_members', 'Live daemons.')
        self.view_blocks = _build_gauge(registry, 'passpier_view_blocks', 'Blocks in view.')
        self.speed_spread = _build_gauge(
            registry,
            'passpier_replica_speed_spread',
            'Ratio of the slowest to the fastest replica, by service.',
        )
        self.processor = _build_gauge(
            registry, 'passpier_processor_seconds', 'Processor time of this process.'
        )

    def buffer(self, counter: aioprometheus.Counter, labels: dict[str, str]) -> BufferedCounter:
        """Return a buffer for frequent increments of a counter."""
        buffered = BufferedCounter(counter, labels)
        self._buffered.append(buffered)
        return buffered

    def render(self, accept: list[str]) -> tuple[bytes, dict[str, str]]:
        """Return the body and the headers of a metrics page."""
        self.processor.set({}, time.process_time())
        for buffered in self._buffered:
            buffered.flush()
        content, headers = aioprometheus.render(self.registry, accept)
        return content, dict(headers)


def _build_counter(registry: aioprometheus.Registry, name: str, text: str) -> aioprometheus.Counter:
    return aioprometheus.Counter(name, text, registry=registry)


def _build_gauge(registry: aioprometheus.Registry, name: str, text: str) -> aioprometheus.Gauge:
    return aioprometheus.Gauge(name, text, registry=registry)
