"""Invariants of the replicated log, asserted where its state changes."""

from __future__ import annotations


class InvariantError(Exception):
    """The replicated log broke one of its own rules; its process must stop."""


def check(holds: bool, rule: str, *, member: str) -> None:
    """Raise ``InvariantError`` naming ``rule`` and the member unless it holds."""
    if holds:
        return

    raise InvariantError(f"{rule} (member {member})")
