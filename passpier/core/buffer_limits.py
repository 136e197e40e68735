"""Limits the amount of data that a VM buffers for slow clients and replicas."""

from __future__ import annotations

MEMORY_SHARE = 0.25
"""Fraction of the VM's memory that may be buffered: 32 MB of 128."""

SMALL_BODY = 64 * 1024
"""Size in bytes up to which a request body is accepted above the limit as well."""

RETRY_AFTER = 0.5
"""Seconds after which a client should retry a request that was refused above the limit."""


class BufferUsage:
    """Counts the buffered bytes: request bodies, and responses that the client has not read."""

    def __init__(self, memory_mb: float | None = None) -> None:
        self.used = 0
        self.limit: int | None = None
        """Buffered bytes above which large bodies are refused; none if there is no limit."""

        self.configure(memory_mb)

    def configure(self, memory_mb: float | None) -> None:
        """Set the limit from the VM's memory; there is none if that is unknown."""
        self.limit = int(memory_mb * 2**20 * MEMORY_SHARE) if memory_mb else None

    @property
    def is_full(self) -> bool:
        """Whether more than the limit is buffered."""
        return self.limit is not None and self.used > self.limit

    def may_receive(self, size: int) -> bool:
        """Return whether a request body may grow to a size."""
        return size <= SMALL_BODY or not self.is_full

    def add(self, size: int) -> None:
        """Count bytes that are buffered from now on."""
        self.used += size

    def remove(self, size: int) -> None:
        """Stop counting bytes that have been sent or dropped."""
        self.used -= size
