"""Routing decisions: state tables and the pure functions that operate on them.

Nothing here does I/O, reads a clock or imports a reactor; ``now`` is an argument.
"""

from __future__ import annotations
