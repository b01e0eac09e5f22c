"""Scripts for developers; never part of the product."""

from __future__ import annotations
