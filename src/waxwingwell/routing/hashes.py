"""Keys by which all processes know prompt blocks, requests and crashes."""

from __future__ import annotations

from functools import lru_cache

from xxhash import xxh3_64_intdigest
from xxhash import xxh32_intdigest


@lru_cache(maxsize=4_096)
def hash_block(service: str, block: str) -> int:
    """Return the key of a prompt block of a service."""
    return xxh3_64_intdigest(f"{service}/{block}".encode())


def hash_process(upstream: str, incarnation: int, process: int = 0) -> int:
    """Return the key of the crash of an upstream's process.

    ``process`` counts the processes that have started without an announcement.
    """
    return xxh3_64_intdigest(f"{upstream}/{incarnation}/{process}".encode())


def hash_request(request: str) -> int:
    """Return the key of a request."""
    return xxh32_intdigest(request.encode())
