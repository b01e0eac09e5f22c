"""The control daemon: links and the administration API around the state."""

from __future__ import annotations
