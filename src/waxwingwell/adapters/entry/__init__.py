"""The entry: callers' and upstreams' connections around the decisions."""

from __future__ import annotations
