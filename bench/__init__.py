"""Benches: ratios against baselines in the same run."""

from __future__ import annotations
