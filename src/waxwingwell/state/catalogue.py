"""The configuration table: workspaces, versions, roll-outs and their revisions."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING

from ..invariants import Promise
from ..invariants import check
from ..messages import Accepted
from ..messages import ConfigSnapshot
from ..messages import Conflict
from ..messages import Rejected
from ..records import Rollout
from ..records import VersionId
from ..records import VersionSpec
from ..records import VersionStatus
from ..records import WorkspaceConfig
from ..records import WorkspaceId


if TYPE_CHECKING:
    from ..messages import Change


WITHDRAWN_STATUSES = frozenset((VersionStatus.ENDING, VersionStatus.WITHDRAWN))
"""Statuses that a version never leaves towards new work."""


@dataclass(frozen=True, slots=True)
class PastChange:
    """The first outcome of a change id, for answering resends."""

    digest: bytes
    """Of the change without its ``at``: one id must not name two changes."""
    outcome: Accepted | Conflict | Rejected


@dataclass(frozen=True, slots=True)
class Author:
    """Who made the present revision of a subject, and when."""

    operator: str
    change_id: str
    at: float


@dataclass(slots=True)
class ConfigTable:
    """All configuration; only ``configuration.apply_change`` alters it."""

    config_version: int = 0
    """Number of changes ever accepted."""
    workspaces: dict[WorkspaceId, WorkspaceConfig] = field(default_factory=dict)
    answers: dict[WorkspaceId, bytes] = field(default_factory=dict)
    versions: dict[VersionId, VersionSpec] = field(default_factory=dict)
    rollouts: dict[str, Rollout] = field(default_factory=dict)
    """The latest roll-out of each model, running or ended."""
    revisions: dict[str, int] = field(default_factory=dict)
    """By subject; a subject that was never written stands at 0."""
    authors: dict[str, Author] = field(default_factory=dict)
    changes: dict[str, PastChange] = field(default_factory=dict)
    """By change id, oldest first."""
    changed: dict[str, int] = field(default_factory=dict)
    """By subject, the configuration version that last changed it, oldest first."""
    snapshot: ConfigSnapshot | None = field(default=None, compare=False, repr=False)
    """The present snapshot, made on demand; not part of the replicated state."""


def name_workspace(workspace: str) -> str:
    """Return the subject of a workspace's configuration."""
    return f"workspace:{workspace}"


def name_version(version: str) -> str:
    """Return the subject of a version in the catalogue."""
    return f"version:{version}"


def name_rollout(model: str) -> str:
    """Return the subject of a model's roll-outs."""
    return f"rollout:{model}"


def raise_revision(table: ConfigTable, subject: str, change: Change) -> int:
    """Give ``subject`` its next revision and return it."""
    revision = table.revisions.get(subject, 0) + 1
    table.revisions[subject] = revision
    # Taken out and put back: the subjects stay in the order of their last change.
    table.changed.pop(subject, None)
    table.changed[subject] = table.config_version + 1
    table.authors[subject] = Author(change.operator, change.change_id, change.at)
    return revision


def set_status(
    table: ConfigTable, version: VersionId, status: VersionStatus, change: Change
) -> None:
    """Change a version's status under a revision of its own, if it differs.

    Failure guarded against: a withdrawn version coming back because a change that
    was decided earlier is applied later. It would show as new work on a version that
    an operator had taken away. The order of statuses only ever moves towards
    ``WITHDRAWN`` once it has reached ``ENDING``, so no order of changes can do it.
    """
    spec = table.versions[version]
    if spec.status is status:
        return

    backwards = spec.status in WITHDRAWN_STATUSES and status not in WITHDRAWN_STATUSES
    softer = spec.status is VersionStatus.WITHDRAWN
    holds = check(
        Promise.NO_NEW_WORK_WHEN_WITHDRAWN,
        not backwards and not softer,
        lambda: f"{version} would go from {spec.status} to {status}",
    )
    if not holds:
        return

    table.versions[version] = replace(spec, status=status)
    raise_revision(table, name_version(version), change)


def make_snapshot(table: ConfigTable) -> ConfigSnapshot:
    """Return all configuration at the present version, as entries receive it."""
    snapshot = table.snapshot
    if snapshot is not None and snapshot.config_version == table.config_version:
        return snapshot

    table.snapshot = ConfigSnapshot(
        config_version=table.config_version,
        workspaces=tuple(table.workspaces.values()),
        versions=tuple(table.versions.values()),
        rollouts=tuple(table.rollouts.values()),
    )
    return table.snapshot


def make_delta(table: ConfigTable, since: int) -> ConfigSnapshot:
    """Return what changed after ``since``, for an entry that has that version.

    Everything if ``since`` is no version that this table has passed. A change then
    costs an entry what it changed, and not the whole configuration.
    """
    if not 0 < since <= table.config_version:
        return make_snapshot(table)

    subjects = set()
    for subject, version in reversed(table.changed.items()):
        if version <= since:
            break

        subjects.add(subject)

    return ConfigSnapshot(
        config_version=table.config_version,
        since=since,
        workspaces=tuple(
            item
            for name, item in table.workspaces.items()
            if name_workspace(name) in subjects
        ),
        versions=tuple(
            item
            for name, item in table.versions.items()
            if name_version(name) in subjects
        ),
        rollouts=tuple(
            item
            for name, item in table.rollouts.items()
            if name_rollout(name) in subjects
        ),
    )
