"""Tests of the experiments."""

from __future__ import annotations
