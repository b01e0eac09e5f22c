"""Randomised runs over the real state code, with promises checked at each step."""

from __future__ import annotations
