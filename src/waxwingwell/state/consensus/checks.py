"""Runtime checks of the invariants of the replicated log."""

from __future__ import annotations


class InvariantError(Exception):
    """An invariant of the replicated log is violated; the process must stop."""


def check_invariant(condition: bool, rule: str, *, member: str) -> None:
    """Raise ``InvariantError`` with ``rule`` and ``member`` unless ``condition``."""
    if condition:
        return

    raise InvariantError(f"{rule} (invariant violated at member {member})")
