"""Tests; the folders mirror the package."""

from __future__ import annotations
