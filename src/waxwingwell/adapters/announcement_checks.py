"""Validation of the announcements that peers pass on."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..routing.announcements import find_announcement_problem
from .events import log_event


if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..routing.fleet import Announcement


def take_valid(news: Iterable[Announcement]) -> tuple[Announcement, ...]:
    """Return the valid ones of a peer's announcements, and log the others.

    A peer of an older release may have accepted what can't be connected to.
    """
    valid = []
    for announcement in news:
        problem = find_announcement_problem(announcement)
        if problem is None:
            valid.append(announcement)
            continue

        log_event(
            "link: Announcement dropped",
            upstream=announcement.upstream,
            reason=f"{problem.place}: {problem.message}",
        )

    return tuple(valid)
