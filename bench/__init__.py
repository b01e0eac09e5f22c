"""Benchmarks, most of them as ratios to a baseline measured in the same run."""

from __future__ import annotations
