"""Changes of the catalogue: registration and withdrawal of versions."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from ..records import Finding
from ..records import RolloutStatus
from ..records import VersionStatus
from .catalogue import WITHDRAWN_STATUSES
from .catalogue import bump_revision
from .catalogue import rollout_subject


if TYPE_CHECKING:
    from ..messages import RegisterVersion
    from ..messages import WithdrawVersion
    from ..records import Rollout
    from ..records import VersionId
    from ..records import VersionSpec
    from .catalogue import ConfigTable


ONGOING_STATUSES = frozenset((RolloutStatus.RUNNING, RolloutStatus.PAUSED))
"""Statuses of a roll-out that has not ended."""


def check_registration(table: ConfigTable, change: RegisterVersion) -> list[Finding]:
    """Return all validation findings for the registration of a version."""
    spec = change.spec
    findings = _check_spec(spec)
    existing = table.versions.get(spec.version)
    if existing is None:
        if spec.status in WITHDRAWN_STATUSES:
            text = f"a new version can't start as {spec.status.value}"
            findings.append(Finding("status", text))

        return findings

    if existing.status is not spec.status:
        text = (
            f"{spec.version} is {existing.status.value}; only a roll-out or a "
            "withdrawal changes that"
        )
        findings.append(Finding("status", text))

    if existing.model != spec.model:
        text = f"{spec.version} belongs to {existing.model}"
        findings.append(Finding("model", text))

    return findings


def _check_spec(spec: VersionSpec) -> list[Finding]:
    """Return findings that don't depend on the catalogue."""
    findings = []
    model, separator, number = spec.version.partition("@")
    if not (model and separator and number) or model != spec.model:
        text = f"{spec.version!r} is not written {spec.model}@version"
        findings.append(Finding("version", text))

    for place in ("price_in", "price_out"):
        if not getattr(spec, place) >= 0:
            findings.append(Finding(place, "a price can't be below 0"))

    if not 0 <= spec.quality_prior <= 1:
        findings.append(Finding("quality_prior", "a rating lies from 0 to 1"))

    return findings


def store_version(table: ConfigTable, change: RegisterVersion) -> None:
    """Add a version to the catalogue, or update its prices and quality prior."""
    table.versions[change.spec.version] = change.spec


def check_withdrawal(table: ConfigTable, change: WithdrawVersion) -> list[Finding]:
    """Return all validation findings for a withdrawal."""
    spec = table.versions.get(change.version)
    if spec is None:
        return [Finding("version", f"{change.version} is not in the catalogue")]

    withdrawn = spec.status is VersionStatus.WITHDRAWN
    if withdrawn or (change.graceful and spec.status is VersionStatus.ENDING):
        text = f"{change.version} is {spec.status.value} already"
        return [Finding("version", text)]

    return []


def withdraw_version(table: ConfigTable, change: WithdrawVersion) -> None:
    """Withdraw a version and roll back the ongoing roll-out it is the candidate of."""
    status = VersionStatus.ENDING if change.graceful else VersionStatus.WITHDRAWN
    spec = table.versions[change.version]
    # The caller bumps the revision of the version itself.
    table.versions[change.version] = replace(spec, status=status)
    rollout = find_ongoing_rollout(table, change.version)
    if rollout is None:
        return

    table.rollouts[rollout.model] = replace(
        rollout,
        status=RolloutStatus.ROLLED_BACK,
        stage_at=change.at,
        reason=f"{change.version} was withdrawn by {change.operator}",
    )
    bump_revision(table, rollout_subject(rollout.model), change)


def find_ongoing_rollout(table: ConfigTable, candidate: VersionId) -> Rollout | None:
    """Return the ongoing roll-out of ``candidate``, or None."""
    spec = table.versions[candidate]
    rollout = table.rollouts.get(spec.model)
    if rollout is None or rollout.candidate != candidate:
        return None

    return rollout if rollout.status in ONGOING_STATUSES else None


def describe_version(table: ConfigTable, version: VersionId) -> str:
    """Return a textual description of a version in the catalogue."""
    spec = table.versions.get(version)
    if spec is None:
        return "not in the catalogue"

    return (
        f"{spec.status.value}, price_in {spec.price_in}, price_out {spec.price_out}, "
        f"quality_prior {spec.quality_prior}"
    )
