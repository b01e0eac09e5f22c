"""Tests of the embedded system: the whole path in one process."""

from __future__ import annotations
