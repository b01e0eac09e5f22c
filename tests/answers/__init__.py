"""Tests of the questionnaire."""

from __future__ import annotations
