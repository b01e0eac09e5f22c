"""The control daemon: serves links and the administration API over its state."""

from __future__ import annotations
