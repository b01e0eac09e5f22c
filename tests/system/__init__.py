"""Failure tests of the complete system, with real processes on loopback."""

from __future__ import annotations

from tests import platform_adapter  # noqa: F401  # puts the adapter on the path
