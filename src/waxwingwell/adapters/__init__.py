"""Adapters: HTTP, msgpack streams, metrics and traces around the inner layers."""

from __future__ import annotations
