"""Tests of the state layer."""

from __future__ import annotations
