"""Compare-and-swap changes of configuration, each applied at most once.

A subject (``workspace:demo``, ``version:heron@2``, ``rollout:heron``) has one
revision counter, and each revision exactly one ancestor: a change names the revision
it was made on and is refused if another came first. The idea is that of "Design doc:
distributed CAS-only key-value store with quorum transactions"; see
docs/design/configuration.md.
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
from .catalogue import name_rollout
from .catalogue import name_version
from .catalogue import name_workspace
from .catalogue import raise_revision


if TYPE_CHECKING:
    from ..records import Evidence
    from .catalogue import ConfigTable


CHANGES_KEPT = 4096
"""Change ids whose first outcome is remembered, the newest ones.

An accepted change resent after that finds its revision taken and gets a conflict, so
that forgetting never applies a change twice.
"""

MAX_NAME = 256
"""Characters in a change id or an operator's name."""

DIGEST_SIZE = 16
"""Bytes of the digest that tells two changes under one id apart."""

ConfigChange = (
    ApplyAnswers | RegisterVersion | StartRollout | StepRollout | WithdrawVersion
)


def apply_change(
    table: ConfigTable, change: ConfigChange, evidence: tuple[Evidence, ...] = ()
) -> Accepted | Conflict | Rejected:
    """Apply a change if its revision stands and nothing speaks against it.

    ``evidence`` is what the stages of a roll-out begin with.
    """
    faults = _check_header(change)
    if faults:
        return Rejected(findings=tuple(faults + find_faults(table, change)))

    digest = digest_change(change)
    past = table.changes.get(change.change_id)
    if past is not None:
        return _answer_resend(past, digest)

    outcome = _try_change(table, change, evidence)
    table.changes[change.change_id] = PastChange(digest, outcome)
    while len(table.changes) > CHANGES_KEPT:
        del table.changes[next(iter(table.changes))]

    return outcome


def digest_change(change: ConfigChange) -> bytes:
    """Return a digest of all but the clock reading, which differs on a resend."""
    plain = msgspec.structs.replace(change, at=0.0)
    return blake2b(msgspec.msgpack.encode(plain), digest_size=DIGEST_SIZE).digest()


def _answer_resend(past: PastChange, digest: bytes) -> Accepted | Conflict | Rejected:
    """Return the first outcome again.

    Failure guarded against: an operator who lost the answer sends the change again
    and would get a conflict with itself, or, on a subject that moved back to the same
    value, apply it twice. The change id is remembered with the outcome.
    """
    if past.digest == digest:
        return past.outcome

    text = "this change id was used for another change"
    return Rejected(findings=(Finding("change_id", text),))


def _try_change(
    table: ConfigTable, change: ConfigChange, evidence: tuple[Evidence, ...]
) -> Accepted | Conflict | Rejected:
    """Compare the revision, collect findings, then swap."""
    subject = name_subject(change)
    revision = table.revisions.get(subject, 0)
    if revision != change.expected_revision:
        current = describe_current(table, change)
        return Conflict(subject=subject, revision=revision, current=current)

    findings = find_faults(table, change)
    if findings:
        return Rejected(findings=tuple(findings))

    _carry_out(table, change, evidence)
    revision = raise_revision(table, subject, change)
    table.config_version += 1
    return Accepted(
        subject=subject, revision=revision, config_version=table.config_version
    )


def name_subject(change: ConfigChange) -> str:
    """Return the subject whose revision a change is compared with."""
    match change:
        case ApplyAnswers():
            return name_workspace(change.config.workspace)
        case RegisterVersion():
            return name_version(change.spec.version)
        case WithdrawVersion():
            return name_version(change.version)
        case StartRollout() | StepRollout():
            return name_rollout(change.model)


def find_faults(table: ConfigTable, change: ConfigChange) -> list[Finding]:
    """Return every reason against a change, each with its place."""
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
    """Return findings on what all changes carry."""
    text = f"must have 1 to {MAX_NAME} characters"
    return [
        Finding(place, text)
        for place in ("change_id", "operator")
        if not 0 < len(getattr(change, place)) <= MAX_NAME
    ]


def _carry_out(
    table: ConfigTable, change: ConfigChange, evidence: tuple[Evidence, ...]
) -> None:
    """Alter the table; nothing speaks against the change any more."""
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
    """Return what stands at the subject of a change, and who put it there."""
    subject = name_subject(change)
    author = table.authors.get(subject)
    text = _describe_subject(table, change)
    if author is None:
        return f"never written; {text}"

    return (
        f"revision {table.revisions[subject]} by {author.operator} at {author.at:.3f}: "
        f"{text}"
    )


def _describe_subject(table: ConfigTable, change: ConfigChange) -> str:
    """Return the content of a change's subject in words."""
    match change:
        case ApplyAnswers():
            return workspaces.describe_workspace(table, change)
        case RegisterVersion():
            return versions.describe_version(table, change.spec.version)
        case WithdrawVersion():
            return versions.describe_version(table, change.version)
        case StartRollout() | StepRollout():
            return rollouts.describe_rollout(table, change.model)
