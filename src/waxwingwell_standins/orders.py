"""Orders to load versions: desired state under a fencing number."""

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
"""Seconds for one download."""

RETRY_PAUSE = 0.5
"""Seconds after a download that failed."""


class LoadOrder(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The versions that an engine shall have, all of them."""

    fencing: int
    versions: tuple[str, ...]


@dataclass(slots=True)
class OrderTable:
    """What was ordered and what is there."""

    loaded: set[str]
    loading: set[str] = field(default_factory=set)
    wanted: set[str] = field(default_factory=set)
    fencing: int = 0
    """Highest fencing number seen."""
    obeyed: int = 0
    refused: int = 0
    timers: list[DelayedCall] = field(default_factory=list)
    fetches: set[Deferred[Any]] = field(default_factory=set)
    stopped: bool = False


def obey_order(table: OrderTable, settings: EngineSettings, order: LoadOrder) -> bool:
    """Obey an order; False if it came from a leader that has been replaced."""
    if settings.checks_fencing and order.fencing < table.fencing:
        table.refused += 1
        return False

    table.obeyed += 1
    table.fencing = max(table.fencing, order.fencing)
    table.wanted = set(order.versions)
    table.loaded &= table.wanted
    table.loading &= table.wanted
    for version in sorted(table.wanted - table.loaded - table.loading):
        load_version(table, settings, version)

    return True


def load_version(table: OrderTable, settings: EngineSettings, version: str) -> None:
    """Begin to load one version; it is there after the settings' time."""
    table.loading.add(version)
    if settings.weights:
        fetch_weights(table, settings, version)
        return

    wait_load(table, settings, version)


def fetch_weights(table: OrderTable, settings: EngineSettings, version: str) -> None:
    """Download a version's weights; come back when the store's limit allows it."""
    if version not in table.loading:
        return

    agent = make_agent(FETCH_TIMEOUT)
    url = f"{settings.weights.rstrip('/')}/weights/{version}"
    answer: Deferred[Any] = treq.get(url, agent=agent)
    answer.addCallback(read_wait)
    answer.addTimeout(FETCH_TIMEOUT, get_reactor())

    def end(wait: object) -> None:
        table.fetches.discard(answer)
        if table.stopped:
            return

        if wait == 0.0:
            wait_load(table, settings, version)
            return

        pause = wait if isinstance(wait, float) else RETRY_PAUSE
        call_later(table, pause, lambda: fetch_weights(table, settings, version))

    table.fetches.add(answer)
    answer.addBoth(end)


def read_wait(response: Response) -> Deferred[float]:
    """Return 0 for a download, else the seconds after which to come back."""
    after = response.headers.getRawHeaders("Retry-After", ["1"])[0]
    wait = 0.0 if response.code == 200 else float(after)
    body: Deferred[Any] = treq.content(response)
    return body.addCallback(lambda _: wait)


def wait_load(table: OrderTable, settings: EngineSettings, version: str) -> None:
    """Wait for the time that loading takes."""
    if settings.load_time <= 0:
        end_load(table, version)
        return

    call_later(table, settings.load_time, lambda: end_load(table, version))


def call_later(table: OrderTable, delay: float, run: Callable[[], None]) -> None:
    """Run something later, unless the engine is stopped before."""
    table.timers = [timer for timer in table.timers if timer.active()]
    table.timers.append(get_reactor().callLater(delay, run))


def stop_loads(table: OrderTable) -> None:
    """Give up all loading."""
    table.stopped = True
    for timer in table.timers:
        if timer.active():
            timer.cancel()

    for fetch in list(table.fetches):
        fetch.cancel()


def end_load(table: OrderTable, version: str) -> None:
    """Note that a version is there, unless a later order gave it up."""
    if version in table.loading:
        table.loading.discard(version)
        table.loaded.add(version)
