"""API keys of callers and operators: their transmission and storage formats."""

from __future__ import annotations

import hashlib


BEARER = "Bearer "
"""Prefix of a key in an ``Authorization`` header."""


def hash_key(key: str) -> str:
    """Return the SHA-256 hex digest under which a key is stored."""
    return hashlib.sha256(key.encode()).hexdigest()


EMPTY_DIGEST = hash_key("")
"""Digest of an empty key, which nobody holds."""
