"""Tests of the Raft implementation."""

from __future__ import annotations
