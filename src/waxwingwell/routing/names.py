"""Names that are sent in headers."""

from __future__ import annotations


def is_header_value(text: str) -> bool:
    """Return whether a text can be sent as a header's value, and arrives unchanged."""
    try:
        text.encode("latin-1")
    except UnicodeEncodeError:
        return False

    return text.isprintable() and text == text.strip()
