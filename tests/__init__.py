"""Tests, in folders that mirror those of the package."""

from __future__ import annotations
