"""Tests of the entry."""

from __future__ import annotations
