"""Compare-and-swap changes of the configuration, each applied at most once.

Each subject (``workspace:demo``, ``version:heron@2``, ``rollout:heron``) has a
revision counter, and each revision has exactly one predecessor: a change names the
revision it is based on and is rejected if another change was applied first. This
follows "Design doc: distributed CAS-only key-value store with quorum transactions";
see docs/design/configuration.md.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

import msgspec

from ..messages import Accepted
from ..messages import ApplyAnswers
from ..messages import Change
from ..messages import Conflict
from ..messages import RegisterVersion
from ..messages import Rejected
from ..messages import StartRollout
from ..messages import StepRollout
from ..messages import WithdrawVersion
from ..records import Finding
from . import rollouts
from . import versions
from . import workspaces
from .catalogue import PastChange
from .catalogue import bump_revision
from .catalogue import rollout_subject
from .catalogue import version_subject
from .catalogue import workspace_subject


if TYPE_CHECKING:
    from ..records import Evidence
    from .catalogue import ConfigTable


MAX_REMEMBERED_CHANGES = 4096
"""Number of most recent change ids whose first outcome is remembered.

An accepted change that is resent after its id was dropped gets a conflict, because its
expected revision is outdated, so that no change is applied twice.
"""

MAX_NAME_LENGTH = 256
"""Maximum characters in a change id or an operator's name."""

DIGEST_SIZE = 16
"""Bytes of the digest that distinguishes two changes with the same id."""

ConfigChange = (
    ApplyAnswers | RegisterVersion | StartRollout | StepRollout | WithdrawVersion
)


def apply_change(
    table: ConfigTable, change: ConfigChange, evidence: tuple[Evidence, ...] = ()
) -> Accepted | Conflict | Rejected:
    """Apply a change if its expected revision is current and it has no findings.

    ``evidence`` is the baseline that a new stage of a roll-out starts with.
    """
    header_findings = _check_header(change)
    if header_findings:
        return Rejected(
            findings=tuple(header_findings + collect_findings(table, change))
        )

    digest = digest_change(change)
    past = table.changes.get(change.change_id)
    if past is not None:
        return _replay_outcome(past, digest)

    outcome = _compare_and_swap(table, change, evidence)
    table.changes[change.change_id] = PastChange(digest, outcome)
    while len(table.changes) > MAX_REMEMBERED_CHANGES:
        del table.changes[next(iter(table.changes))]

    return outcome


def digest_change(change: ConfigChange) -> bytes:
    """Return a digest of a change without its time stamp, which differs on a resend."""
    unstamped = msgspec.structs.replace(change, at=0.0)
    return blake2b(msgspec.msgpack.encode(unstamped), digest_size=DIGEST_SIZE).digest()


def _replay_outcome(past: PastChange, digest: bytes) -> Accepted | Conflict | Rejected:
    """Return the remembered outcome of a change that is resent.

    Without it, an operator who resends a change because the response was lost would get
    a conflict with their own change, or would apply it twice if the subject had been
    changed back to the same value.
    """
    if past.digest == digest:
        return past.outcome

    text = "this change id was used for another change"
    return Rejected(findings=(Finding("change_id", text),))


def _compare_and_swap(
    table: ConfigTable, change: ConfigChange, evidence: tuple[Evidence, ...]
) -> Accepted | Conflict | Rejected:
    """Check the expected revision, collect findings, then store the change."""
    subject = get_subject(change)
    revision = table.revisions.get(subject, 0)
    if revision != change.expected_revision:
        current = describe_current(table, change)
        return Conflict(subject=subject, revision=revision, current=current)

    findings = collect_findings(table, change)
    if findings:
        return Rejected(findings=tuple(findings))

    _store_change(table, change, evidence)
    revision = bump_revision(table, subject, change)
    table.config_version += 1
    return Accepted(
        subject=subject, revision=revision, config_version=table.config_version
    )


def get_subject(change: ConfigChange) -> str:
    """Return the subject that a change modifies."""
    match change:
        case ApplyAnswers():
            return workspace_subject(change.config.workspace)
        case RegisterVersion():
            return version_subject(change.spec.version)
        case WithdrawVersion():
            return version_subject(change.version)
        case StartRollout() | StepRollout():
            return rollout_subject(change.model)


def collect_findings(table: ConfigTable, change: ConfigChange) -> list[Finding]:
    """Return all validation findings for a change, each with the field concerned."""
    match change:
        case ApplyAnswers():
            return workspaces.check_answers(table, change)
        case RegisterVersion():
            return versions.check_registration(table, change)
        case WithdrawVersion():
            return versions.check_withdrawal(table, change)
        case StartRollout():
            return rollouts.check_start(table, change)
        case StepRollout():
            return rollouts.check_step(table, change)


def _check_header(change: Change) -> list[Finding]:
    """Return findings for the fields that all changes have."""
    text = f"must have 1 to {MAX_NAME_LENGTH} characters"
    return [
        Finding(place, text)
        for place in ("change_id", "operator")
        if not 0 < len(getattr(change, place)) <= MAX_NAME_LENGTH
    ]


def _store_change(
    table: ConfigTable, change: ConfigChange, evidence: tuple[Evidence, ...]
) -> None:
    """Store a validated change in the table."""
    match change:
        case ApplyAnswers():
            workspaces.store_answers(table, change)
        case RegisterVersion():
            versions.store_version(table, change)
        case WithdrawVersion():
            versions.withdraw_version(table, change)
        case StartRollout():
            rollouts.start_rollout(table, change, evidence)
        case StepRollout():
            rollouts.step_rollout(table, change, evidence)


def describe_current(table: ConfigTable, change: ConfigChange) -> str:
    """Return the current content of a change's subject and its author."""
    subject = get_subject(change)
    author = table.authors.get(subject)
    text = _describe_subject(table, change)
    if author is None:
        return f"never written; {text}"

    return (
        f"revision {table.revisions[subject]} by {author.operator} at {author.at:.3f}: "
        f"{text}"
    )


def _describe_subject(table: ConfigTable, change: ConfigChange) -> str:
    """Return a textual description of a change's subject."""
    match change:
        case ApplyAnswers():
            return workspaces.describe_workspace(table, change)
        case RegisterVersion():
            return versions.describe_version(table, change.spec.version)
        case WithdrawVersion():
            return versions.describe_version(table, change.version)
        case StartRollout() | StepRollout():
            return rollouts.describe_rollout(table, change.model)
