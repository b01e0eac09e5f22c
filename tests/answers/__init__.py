"""Tests of the validation of answers and of generated configurations."""

from __future__ import annotations
