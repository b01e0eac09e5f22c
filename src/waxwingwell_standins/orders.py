"""Load orders: the desired set of versions, protected by a fencing number."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

import msgspec
import treq
from twisted.internet.base import DelayedCall
from twisted.internet.defer import Deferred

from .client import make_agent
from .listener import get_reactor


if TYPE_CHECKING:
    from collections.abc import Callable

    from .client import Response
    from .settings import EngineSettings


FETCH_TIMEOUT = 10.0
"""Timeout of one download, in seconds."""

RETRY_DELAY = 0.5
"""Seconds before a failed download is retried."""


class LoadOrder(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The complete set of versions that an engine should have loaded."""

    fencing: int
    versions: tuple[str, ...]


@dataclass(slots=True)
class OrderTable:
    """Desired and actual versions of an engine."""

    loaded: set[str]
    loading: set[str] = field(default_factory=set)
    desired: set[str] = field(default_factory=set)
    fencing: int = 0
    """Highest fencing number seen."""
    applied: int = 0
    refused: int = 0
    timers: list[DelayedCall] = field(default_factory=list)
    fetches: set[Deferred[Any]] = field(default_factory=set)
    stopped: bool = False


def apply_order(table: OrderTable, settings: EngineSettings, order: LoadOrder) -> bool:
    """Apply an order; return False if it came from a leader that has been replaced."""
    if settings.checks_fencing and order.fencing < table.fencing:
        table.refused += 1
        return False

    table.applied += 1
    table.fencing = max(table.fencing, order.fencing)
    table.desired = set(order.versions)
    table.loaded &= table.desired
    table.loading &= table.desired
    for version in sorted(table.desired - table.loaded - table.loading):
        start_load(table, settings, version)

    return True


def start_load(table: OrderTable, settings: EngineSettings, version: str) -> None:
    """Start to load a version, with a download first if a store is configured."""
    table.loading.add(version)
    if settings.weights:
        fetch_weights(table, settings, version)
        return

    schedule_load(table, settings, version)


def fetch_weights(table: OrderTable, settings: EngineSettings, version: str) -> None:
    """Download the weights of a version; retry when the store's rate limit allows."""
    if version not in table.loading:
        return

    agent = make_agent(FETCH_TIMEOUT)
    url = f"{settings.weights.rstrip('/')}/weights/{version}"
    fetch: Deferred[Any] = treq.get(url, agent=agent)
    fetch.addCallback(read_retry_after)
    fetch.addTimeout(FETCH_TIMEOUT, get_reactor())

    def finish(retry_after: object) -> None:
        table.fetches.discard(fetch)
        if table.stopped:
            return

        if retry_after == 0.0:
            schedule_load(table, settings, version)
            return

        delay = retry_after if isinstance(retry_after, float) else RETRY_DELAY
        call_later(table, delay, lambda: fetch_weights(table, settings, version))

    table.fetches.add(fetch)
    fetch.addBoth(finish)


def read_retry_after(response: Response) -> Deferred[float]:
    """Return 0 for a successful download, otherwise the seconds before a retry."""
    after = response.headers.getRawHeaders("Retry-After", ["1"])[0]
    retry_after = 0.0 if response.code == 200 else float(after)
    body: Deferred[Any] = treq.content(response)
    return body.addCallback(lambda _: retry_after)


def schedule_load(table: OrderTable, settings: EngineSettings, version: str) -> None:
    """Finish loading a version after ``load_time`` seconds."""
    if settings.load_time <= 0:
        finish_load(table, version)
        return

    call_later(table, settings.load_time, lambda: finish_load(table, version))


def call_later(table: OrderTable, delay: float, run: Callable[[], None]) -> None:
    """Call ``run`` after ``delay`` seconds, unless the engine stops first."""
    table.timers = [timer for timer in table.timers if timer.active()]
    table.timers.append(get_reactor().callLater(delay, run))


def cancel_loads(table: OrderTable) -> None:
    """Cancel all downloads and loading timers."""
    table.stopped = True
    for timer in table.timers:
        if timer.active():
            timer.cancel()

    for fetch in list(table.fetches):
        fetch.cancel()


def finish_load(table: OrderTable, version: str) -> None:
    """Mark a version as loaded, unless a later order dropped it."""
    if version in table.loading:
        table.loading.discard(version)
        table.loaded.add(version)
