"""Names of processes, and checks of names: those sent in headers, and addresses."""

from __future__ import annotations

import ipaddress
import math


def number_process(started_at: float) -> int:
    """Return the number that distinguishes a process from others of its VM.

    ``started_at`` is the time of its start, which may be infinite if it is not known.
    """
    return round(started_at * 1000) if math.isfinite(started_at) else 0


def is_header_value(text: str) -> bool:
    """Return whether a text can be sent as a header's value, and arrives unchanged."""
    try:
        text.encode("latin-1")
    except UnicodeEncodeError:
        return False

    return text.isprintable() and text == text.strip()


def is_ip_address(host: str) -> bool:
    """Return whether a text is an IPv4 or IPv6 address, without brackets."""
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False

    return True
