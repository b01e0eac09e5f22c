"""Randomised runs of the real state code that check invariants after each step."""

from __future__ import annotations
