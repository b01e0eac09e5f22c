"""The embedded role: control, an entry and stand-in upstreams in one process.

It listens on loopback only.
"""

from __future__ import annotations
