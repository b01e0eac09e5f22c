"""The configuration table: workspaces, versions, roll-outs and their revisions."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING

from ..invariants import Invariant
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
"""Statuses from which a version can't become available for new work again."""


@dataclass(frozen=True, slots=True)
class PastChange:
    """The first outcome of a change id, returned again for resends."""

    digest: bytes
    """Digest of the change without ``at``; detects an id used for two changes."""
    outcome: Accepted | Conflict | Rejected


@dataclass(frozen=True, slots=True)
class Author:
    """Operator, change id and time of a subject's current revision."""

    operator: str
    change_id: str
    at: float


@dataclass(slots=True)
class ConfigTable:
    """All configuration; modified by ``configuration.apply_change`` only."""

    config_version: int = 0
    """Number of changes accepted so far."""
    workspaces: dict[WorkspaceId, WorkspaceConfig] = field(default_factory=dict)
    answers: dict[WorkspaceId, bytes] = field(default_factory=dict)
    versions: dict[VersionId, VersionSpec] = field(default_factory=dict)
    rollouts: dict[str, Rollout] = field(default_factory=dict)
    """The latest roll-out of each model, running or ended."""
    revisions: dict[str, int] = field(default_factory=dict)
    """Revision by subject; 0 for a subject that was never written."""
    authors: dict[str, Author] = field(default_factory=dict)
    changes: dict[str, PastChange] = field(default_factory=dict)
    """Outcomes by change id, oldest first."""
    changed: dict[str, int] = field(default_factory=dict)
    """Configuration version of each subject's last change, oldest first."""
    snapshot: ConfigSnapshot | None = field(default=None, compare=False, repr=False)
    """Cached current snapshot; not part of the replicated state."""


def workspace_subject(workspace: str) -> str:
    """Return the subject key of a workspace's configuration."""
    return f"workspace:{workspace}"


def version_subject(version: str) -> str:
    """Return the subject key of a version in the catalogue."""
    return f"version:{version}"


def rollout_subject(model: str) -> str:
    """Return the subject key of a model's roll-outs."""
    return f"rollout:{model}"


def bump_revision(table: ConfigTable, subject: str, change: Change) -> int:
    """Increment the revision of ``subject`` and return the new one."""
    revision = table.revisions.get(subject, 0) + 1
    table.revisions[subject] = revision
    # Re-inserting keeps the subjects in the order of their last change.
    table.changed.pop(subject, None)
    table.changed[subject] = table.config_version + 1
    table.authors[subject] = Author(change.operator, change.change_id, change.at)
    return revision


def set_status(
    table: ConfigTable, version: VersionId, status: VersionStatus, change: Change
) -> None:
    """Change a version's status and bump its revision, if the status differs.

    Once a version is ``ENDING`` its status can only become ``WITHDRAWN``, whatever the
    order of changes. Otherwise a change decided before the withdrawal but applied after
    it would reactivate the version, which would then receive new work again.
    """
    spec = table.versions[version]
    if spec.status is status:
        return

    reactivates = spec.status in WITHDRAWN_STATUSES and status not in WITHDRAWN_STATUSES
    already_withdrawn = spec.status is VersionStatus.WITHDRAWN
    holds = check(
        Invariant.NO_NEW_WORK_WHEN_WITHDRAWN,
        not reactivates and not already_withdrawn,
        lambda: f"{version} would change from {spec.status} to {status}",
    )
    if not holds:
        return

    table.versions[version] = replace(spec, status=status)
    bump_revision(table, version_subject(version), change)


def make_snapshot(table: ConfigTable) -> ConfigSnapshot:
    """Return the current configuration as sent to entries."""
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
    """Return what changed after configuration version ``since``.

    An entry that has ``since`` then receives only the changed subjects instead of the
    whole configuration. If ``since`` is not a version that this table has reached, the
    full configuration is returned.
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
            if workspace_subject(name) in subjects
        ),
        versions=tuple(
            item
            for name, item in table.versions.items()
            if version_subject(name) in subjects
        ),
        rollouts=tuple(
            item
            for name, item in table.rollouts.items()
            if rollout_subject(name) in subjects
        ),
    )
