"""The entry: network connections to callers and upstreams around the decisions."""

from __future__ import annotations
