"""Decisions: tables and the pure systems that run over them.

Nothing here does I/O, reads a clock or imports a reactor; ``now`` is an argument.
"""

from __future__ import annotations
