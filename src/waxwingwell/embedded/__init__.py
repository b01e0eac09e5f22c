"""The embedded role: control, entry and stand-ins in one process, on loopback."""

from __future__ import annotations
