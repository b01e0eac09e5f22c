"""The clocks that adapters read and pass inwards as ``now``."""

from __future__ import annotations

import time


def read_clock() -> float:
    """Return seconds that never step back and go on while the VM is suspended.

    CLOCK_MONOTONIC stands still during a suspend, so that a VM resumed after an
    hour would believe its lease still runs; CLOCK_BOOTTIME counts that hour.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_wall_clock() -> float:
    """Return seconds since the epoch, for records that people read."""
    return time.time()
