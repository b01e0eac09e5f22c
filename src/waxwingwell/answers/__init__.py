"""Validation of questionnaire answers and generation of workspace configurations."""

from __future__ import annotations
