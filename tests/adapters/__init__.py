"""Tests of the adapters."""

from __future__ import annotations
