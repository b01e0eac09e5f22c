"""Tests of the decisions."""

from __future__ import annotations
