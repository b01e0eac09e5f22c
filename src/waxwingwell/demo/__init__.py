"""The scripted tour that ``waxwingwell demo`` runs against an embedded system."""

from __future__ import annotations
