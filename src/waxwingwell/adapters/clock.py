"""Clocks that adapters read and pass to the inner layers as ``now``."""

from __future__ import annotations

import time
from pathlib import Path


BOOT_PATH = Path("/proc/sys/kernel/random/boot_id")


def read_clock() -> float:
    """Return seconds of a monotonic clock that also counts while the VM is suspended.

    CLOCK_MONOTONIC stops during a suspend, so a VM that is resumed after an hour
    would treat an expired lease as valid. CLOCK_BOOTTIME counts that hour.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_boot() -> str:
    """Return a text that differs between boots; empty if the kernel tells none."""
    try:
        return BOOT_PATH.read_text().strip()
    except OSError:
        return ""


def read_wall_clock() -> float:
    """Return seconds since the epoch, for timestamps that people read."""
    return time.time()
