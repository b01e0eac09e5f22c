"""Sends the announcements of one upstream to the entries."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

import msgspec
import treq
from twisted.internet.defer import Deferred
from twisted.internet.defer import succeed
from twisted.internet.task import LoopingCall

from waxwingwell.records import Announcement

from .client import make_agent
from .client import read_status
from .listener import get_reactor
from .settings import AnnounceSettings


if TYPE_CHECKING:
    from twisted.internet.base import DelayedCall


ANNOUNCE_PATH = "/v1/upstreams/announce"
RENEWALS_PER_LEASE = 3


@dataclass(slots=True)
class Announcer:
    """State of the announcements of one upstream."""

    settings: AnnounceSettings
    describe: Callable[[], Announcement]
    """Returns the current announcement; incarnation and sequence are filled in."""
    incarnation: int
    agent: Any
    sequence: int = 0
    entry: int = 0
    """Index of the entry in use, modulo the number of entries."""
    accepted: int = 0
    failed: int = 0
    leaving: bool = False
    loop: LoopingCall | None = None
    pending: Deferred[None] | None = None

    def stop(self) -> Deferred[None]:
        """Stop without announcing it; the lease then expires."""
        if self.loop is not None and self.loop.running:
            self.loop.stop()

        if self.pending is not None:
            self.pending.cancel()

        return succeed(None)

    def leave(self) -> Deferred[None]:
        """Announce that the upstream leaves; later announcements repeat it."""
        self.leaving = True
        return send_announcement(self)


def start_announcer(
    settings: AnnounceSettings,
    describe: Callable[[], Announcement],
    *,
    incarnation: int | None = None,
) -> Announcer:
    """Announce immediately and then ``RENEWALS_PER_LEASE`` times per lease."""
    chosen_incarnation = time.time_ns() // 1000 if incarnation is None else incarnation
    interval = settings.lease / RENEWALS_PER_LEASE
    agent = make_agent(interval)
    announcer = Announcer(settings, describe, chosen_incarnation, agent)
    announcer.loop = LoopingCall(send_announcement, announcer)
    announcer.loop.start(interval).addErrback(lambda _: None)
    return announcer


def send_announcement(announcer: Announcer) -> Deferred[None]:
    """Send one announcement; after a failure the next one goes to another entry."""
    settings = announcer.settings
    announcer.sequence += 1
    body = replace(
        announcer.describe(),
        incarnation=announcer.incarnation,
        sequence=announcer.sequence,
        leaving=announcer.leaving,
    )
    entry = settings.entries[announcer.entry % len(settings.entries)]
    headers: dict[bytes | str, bytes | str] = {"Content-Type": "application/json"}
    if settings.key:
        headers["Authorization"] = f"Bearer {settings.key}"

    response: Deferred[Any] = treq.request(
        "POST",
        entry.rstrip("/") + ANNOUNCE_PATH,
        data=msgspec.json.encode(body),
        headers=headers,
        agent=announcer.agent,
    )
    response.addCallback(read_status)
    return track_response(announcer, response)


def track_response(announcer: Announcer, response: Deferred[Any]) -> Deferred[None]:
    """Bound the response time, count the outcome, and switch entries on failure.

    Without the timeout, an entry whose connection is unresponsive would block every
    later renewal until the lease has expired.
    """
    timeout = announcer.settings.lease / RENEWALS_PER_LEASE
    timer: DelayedCall = get_reactor().callLater(timeout, response.cancel)

    def finish(result: object) -> None:
        announcer.pending = None
        if timer.active():
            timer.cancel()

        if isinstance(result, int) and result < 300:
            announcer.accepted += 1
            return

        announcer.failed += 1
        announcer.entry += 1

    announcer.pending = response
    return response.addBoth(finish)
