"""Seeded experiments that drive the real decision code over table-level fakes."""

from __future__ import annotations
