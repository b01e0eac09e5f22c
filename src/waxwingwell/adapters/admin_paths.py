"""Paths of the administration API, for its servers and its client."""

from __future__ import annotations


API = "/admin/v1"
EVACUATIONS = "/evacuations"
"""Path of the evacuations at a registry, below ``API``."""
QUARANTINE = "/quarantine"
"""Path of the quarantined prompt blocks at a registry, below ``API``."""
