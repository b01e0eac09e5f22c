"""The scripted tour that ``waxwingwell demo`` runs on its own embedded system."""

from __future__ import annotations
