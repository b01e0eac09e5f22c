"""Adapters between the inner layers and HTTP, links, log lines, metrics and traces."""

from __future__ import annotations
