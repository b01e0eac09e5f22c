"""Orders to load versions: desired state under a fencing number."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

import msgspec
from twisted.internet.base import DelayedCall

from .listener import get_reactor


if TYPE_CHECKING:
    from .settings import EngineSettings


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
    if settings.load_time <= 0:
        table.loaded.add(version)
        return

    table.loading.add(version)
    table.timers = [timer for timer in table.timers if timer.active()]
    timer = get_reactor().callLater(settings.load_time, end_load, table, version)
    table.timers.append(timer)


def end_load(table: OrderTable, version: str) -> None:
    """Note that a version is there, unless a later order gave it up."""
    if version in table.loading:
        table.loading.discard(version)
        table.loaded.add(version)
