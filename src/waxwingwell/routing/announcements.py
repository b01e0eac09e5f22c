"""Validation of announcements, whoever sends them."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ..records import Finding
from .fleet import UpstreamState
from .names import is_header_value
from .names import is_ip_address


if TYPE_CHECKING:
    from .fleet import Announcement


MAX_PORT = 65_535
MAX_SLOTS = 1_000_000
MAX_WARM_UP_SECONDS = 86_400.0
MAX_CLOCK_SKEW_SECONDS = 86_400.0
"""Seconds by which an upstream's clock may be ahead. One that has started in the far
future would make each later announcement under its id look old."""
INCARNATION_RULE = "must be milliseconds since the epoch, and not in the future"

Check = tuple[str, bool, str]
"""Field, whether it is valid, and what it must be."""


def find_announcement_problem(
    announcement: Announcement, wall_time: float | None = None
) -> Finding | None:
    """Return the first reason why an announcement can't be used, or None.

    ``wall_time`` is the present time in seconds since the epoch; None if it is not
    known.
    """
    checks = check_identity(announcement, wall_time)
    if announcement.state is not UpstreamState.GONE:
        checks = (*checks, *check_service(announcement))

    for place, valid, message in checks:
        if not valid:
            return Finding(f"announcement.{place}", message)

    return None


def check_identity(
    announcement: Announcement, wall_time: float | None
) -> tuple[Check, ...]:
    """Return the checks of what identifies an announcement."""
    name = announcement.upstream
    return (
        ("upstream", name != "" and is_header_value(name), "must suit a header"),
        (
            "incarnation",
            is_incarnation(announcement.incarnation, wall_time),
            INCARNATION_RULE,
        ),
        ("sequence", announcement.sequence >= 0, "must not be negative"),
    )


def check_service(announcement: Announcement) -> tuple[Check, ...]:
    """Return the checks of what an upstream serves, and where."""
    names = (announcement.service, announcement.data_centre, announcement.version)
    return (
        (
            "names",
            all(map(str.isprintable, (*names, *announcement.models))),
            "must be printable",
        ),
        ("host", is_ip_address(announcement.host), "must be an IP address"),
        ("port", 0 < announcement.port <= MAX_PORT, f"must be 1 to {MAX_PORT}"),
        (
            "slots",
            0 <= announcement.slots <= MAX_SLOTS,
            f"must be 0 to {MAX_SLOTS}",
        ),
        (
            "warming",
            0.0 <= announcement.warming <= MAX_WARM_UP_SECONDS,
            f"must be 0 to {MAX_WARM_UP_SECONDS:.0f} s",
        ),
    )


def is_incarnation(number: int, wall_time: float | None) -> bool:
    """Return whether a number may be the start of an upstream, in milliseconds."""
    latest = math.inf if wall_time is None else wall_time + MAX_CLOCK_SKEW_SECONDS
    return 0 <= number <= latest * 1000
