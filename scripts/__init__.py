"""Development scripts; not part of the product."""

from __future__ import annotations
