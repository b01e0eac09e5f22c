"""Keys by which all processes know prompt blocks, requests and crashes."""

from __future__ import annotations

from functools import lru_cache
from typing import TYPE_CHECKING

from xxhash import xxh3_64
from xxhash import xxh3_64_intdigest


if TYPE_CHECKING:
    from collections.abc import Iterable


@lru_cache(maxsize=4_096)
def hash_block(service: str, block: str) -> int:
    """Return the key of a prompt block of a service."""
    return xxh3_64_intdigest(f"{service}/{block}".encode())


def hash_content(parts: Iterable[bytes]) -> int:
    """Return the key of a request's content, which all of its attempts share.

    It is negative, while keys of prompt blocks are not.
    """
    return hash_framed((frame_parts(parts),))


def frame_parts(parts: Iterable[bytes]) -> bytes:
    """Return parts of a request's content in a form that can't be parsed otherwise."""
    return b"".join([b"%d:%b" % (len(part), part) for part in parts])


def hash_framed(pieces: Iterable[bytes]) -> int:
    """Return the key of a request's content, whose framed parts come in pieces."""
    digest = xxh3_64()
    for piece in pieces:
        digest.update(piece)

    return -1 - (digest.intdigest() >> 1)


def is_content(key: int) -> bool:
    """Return whether a key is that of a request's content, not of a prompt block."""
    return key < 0


def hash_process(upstream: str, incarnation: int, process: int = 0) -> int:
    """Return the key of the crash of an upstream's process.

    ``process`` counts the processes that have started without an announcement.
    """
    return xxh3_64_intdigest(f"{upstream}/{incarnation}/{process}".encode())


def shorten_content(content: int) -> int:
    """Return the key by which evidence on prompt blocks names a request, of 32 bits."""
    return content & 0xFFFF_FFFF
