"""Tests of the command line."""

from __future__ import annotations
