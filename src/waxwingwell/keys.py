"""Keys of callers and operators: how they are sent, and how they are stored."""

from __future__ import annotations

import hashlib


BEARER = "Bearer "
"""What stands before a key in an ``Authorization`` header."""


def hash_key(key: str) -> str:
    """Return the SHA-256 hex digest under which a key is stored."""
    return hashlib.sha256(key.encode()).hexdigest()
