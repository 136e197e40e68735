"""Features of request routing that an operator can switch off."""

from __future__ import annotations

import enum


class Feature(enum.Enum):
    """A feature that is on by default and acts where the configuration calls for it."""

    REPLICA_SPEEDS = 'replica_speeds'
    """Choices use each replica's own speed, as learnt by all VMs."""

    POOL_DEMAND = 'pool_demand'
    """VMs tell each other what they have running and waiting."""

    SEPARATION = 'separation'
    """Short urgent prompts have replicas of their own."""

    REPLICA_MEMORY = 'replica_memory'
    """Replicas without KV memory for a request get no more of them."""

    ADMISSION = 'admission'
    """Refusals under scarcity follow priorities and the accounts' fair shares."""

    LOCALITY = 'locality'
    """Work stays in its failure domain while the wait there is short."""

    BUFFER_LIMITS = 'buffer_limits'
    """The memory for slow clients and replicas is bounded."""


ALL = frozenset(Feature)


def parse_disabled(text: str) -> frozenset[Feature]:
    """Return the features named in a comma-separated list; raise `ValueError` for unknown ones."""
    return frozenset(Feature(name.strip()) for name in text.split(',') if name.strip())
