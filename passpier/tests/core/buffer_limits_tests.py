"""Whether a VM accepts request bodies, by the amount of data that it buffers."""

from __future__ import annotations

from passpier.core import buffer_limits


def test_limits_of_a_vm_of_128_mb() -> None:
    """Guards against refused small bodies, and against a limit where the memory is unknown."""
    usage = buffer_limits.BufferUsage(128)
    usage.add(32 * 2**20)
    assert usage.may_receive(4 * 2**20)
    usage.add(1)
    assert not usage.may_receive(buffer_limits.SMALL_BODY + 1)
    assert usage.may_receive(buffer_limits.SMALL_BODY)
    usage.remove(1)
    assert usage.may_receive(4 * 2**20)
    unlimited = buffer_limits.BufferUsage()
    unlimited.add(2**40)
    assert unlimited.may_receive(2**30)
