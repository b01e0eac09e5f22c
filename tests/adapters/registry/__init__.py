"""Tests of the registry."""

from __future__ import annotations

from loguru import logger


logger.disable("waxwingwell.adapters.events")
