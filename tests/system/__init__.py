"""Failure tests of the whole system: real processes on loopback."""

from __future__ import annotations
