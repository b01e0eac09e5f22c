"""Tests of the gateway."""

from __future__ import annotations

from loguru import logger


# Each request logs a few lines; a test that reads them enables them itself.
logger.disable("waxwingwell.adapters.events")
