"""Tests of the gateway."""

from __future__ import annotations

from loguru import logger


# Each request logs a few lines; tests that read the log enable it themselves.
logger.disable("waxwingwell.adapters.events")
