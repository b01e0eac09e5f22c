"""Session pins: a session keeps the first version it was assigned.

A pin is kept for ``PIN_RETENTION`` seconds after the session was last pinned, by the
latest time stamp of any command. An entry that caches pins requests them again at least
once a day, which renews them. Beyond ``MAX_PINS`` new sessions are rejected, because
dropping the pin of a live session would move it to another version.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING

from ..invariants import Invariant
from ..invariants import check
from ..messages import Pinned
from ..messages import Rejected
from ..records import Finding
from ..records import VersionId
from ..records import WorkspaceId
from .catalogue import WITHDRAWN_STATUSES


if TYPE_CHECKING:
    from ..messages import PinSession
    from .catalogue import ConfigTable


PIN_RETENTION = 7 * 86_400.0
"""Seconds for which a pin is kept after it was last requested."""

MAX_PINS = 500_000
"""Maximum pins; see docs/CAPACITY.md for their memory use."""

MAX_DROPS_PER_COMMAND = 8
"""Maximum expired pins that one command drops."""

MAX_CLOCK_STEP = 60.0
"""Maximum seconds by which one command advances the clock; limits a wrong clock."""

PinKey = tuple[WorkspaceId, str]


@dataclass(frozen=True, slots=True)
class Pin:
    """The version of a session, and when the pin was last requested."""

    version: VersionId
    used_at: float


@dataclass(slots=True)
class PinTable:
    """Pins by (workspace, session), least recently used first.

    An ``OrderedDict``, because finding the first item of a plain dict scans all items
    deleted before it, which is slow when sessions are renewed in order of their age.
    """

    pins: OrderedDict[PinKey, Pin] = field(default_factory=OrderedDict)
    clock: float = 0.0


def pin_session(
    table: PinTable, config: ConfigTable, command: PinSession
) -> Pinned | Rejected:
    """Return the session's pin; create one for the given version if there is none.

    Two entries may pin a session at the same time, or an entry may use a configuration
    that was just replaced. The session would then change its version, or start on a
    withdrawn one. Therefore the first pin in the log wins, and it is checked against
    the configuration at its position in the log.
    """
    _advance_clock(table, command.at)
    pin_key = (command.workspace, command.session)
    existing = table.pins.get(pin_key)
    if existing is not None:
        table.pins[pin_key] = replace(existing, used_at=table.clock)
        table.pins.move_to_end(pin_key)
        return Pinned(version=existing.version)

    findings = _check_pin(table, config, command)
    if findings:
        return Rejected(findings=tuple(findings))

    table.pins[pin_key] = Pin(command.version, table.clock)
    return Pinned(version=command.version)


def _check_pin(
    table: PinTable, config: ConfigTable, command: PinSession
) -> list[Finding]:
    """Return all validation findings for a first pin."""
    findings = []
    if not command.session:
        findings.append(Finding("session", "a session needs a name"))

    workspace = config.workspaces.get(command.workspace)
    if workspace is None:
        text = f"no workspace {command.workspace}"
        findings.append(Finding("workspace", text))
    elif command.version not in workspace.allowed:
        text = f"{command.version} is not allowed to {command.workspace}"
        findings.append(Finding("version", text))

    spec = config.versions.get(command.version)
    if spec is None or spec.status in WITHDRAWN_STATUSES:
        status_text = "not in the catalogue" if spec is None else spec.status.value
        text = f"{command.version} is {status_text}; no session starts on it"
        findings.append(Finding("version", text))

    if len(table.pins) >= MAX_PINS:
        findings.append(Finding("pins", f"{MAX_PINS} sessions are held; none free"))

    return findings


def _advance_clock(table: PinTable, at: float) -> None:
    """Advance the clock and drop a few expired pins."""
    if at > table.clock:
        first = table.clock == 0.0
        table.clock = at if first else min(at, table.clock + MAX_CLOCK_STEP)

    for _ in range(MAX_DROPS_PER_COMMAND):
        pin_key = next(iter(table.pins), None)
        if pin_key is None or table.pins[pin_key].used_at + PIN_RETENTION > table.clock:
            return

        del table.pins[pin_key]


def check_pinned(pinned: VersionId, used: VersionId, session: str) -> bool:
    """Check at dispatch that a pinned session runs on its pinned version."""
    return check(
        Invariant.SESSION_KEEPS_VERSION,
        not pinned or pinned == used,
        lambda: f"session {session} is pinned to {pinned}, not {used}",
    )
