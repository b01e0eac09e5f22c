"""Clocks that adapters read and pass to the inner layers as ``now``."""

from __future__ import annotations

import time


def read_clock() -> float:
    """Return seconds of a monotonic clock that also counts while the VM is suspended.

    CLOCK_MONOTONIC stops during a suspend, so a VM that is resumed after an hour
    would treat an expired lease as valid. CLOCK_BOOTTIME counts that hour.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_wall_clock() -> float:
    """Return seconds since the epoch, for timestamps that people read."""
    return time.time()
