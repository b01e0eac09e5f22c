"""What stored documents leave open, by the bytes that their operators sent."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec


if TYPE_CHECKING:
    from .records import Document


KeyCheck = Callable[[bytes], bool]
"""Returns whether a document requires keys by the bytes that its operator sent; raises
``msgspec.DecodeError`` if they don't tell."""


def complete_document(
    document: Document, source: bytes, requires_key: KeyCheck
) -> Document:
    """Return a stored document that says truly whether requests need a key.

    Earlier releases stored one without workspaces as open, or with no word on keys,
    whether its list of workspaces was missing or empty. What can't be told opens no
    route.
    """
    if document.workspaces:
        return document

    try:
        needs_key = requires_key(source)
    except msgspec.DecodeError:
        needs_key = True

    return msgspec.structs.replace(document, needs_key=needs_key)
