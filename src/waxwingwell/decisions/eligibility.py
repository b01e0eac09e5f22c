"""Which versions a request may run on, regardless of cost and quality."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..records import RolloutStatus
from ..records import VersionStatus
from .tables import Refusal


if TYPE_CHECKING:
    from ..records import VersionId
    from ..records import VersionSpec
    from ..records import WorkspaceConfig
    from .tables import Tables
    from .tables import Work


def get_effective_status(tables: Tables, spec: VersionSpec) -> VersionStatus:
    """Return a version's status, taking the end of its roll-out into account.

    When a roll-out ends, the version's own status may lag behind. A rolled-back
    candidate must count as withdrawn at once, not as a candidate.
    """
    if spec.status is not VersionStatus.CANDIDATE:
        return spec.status

    rollout = tables.rollouts.get(spec.model)
    if rollout is None or rollout.candidate != spec.version:
        return spec.status

    if rollout.status is RolloutStatus.ROLLED_BACK:
        return VersionStatus.WITHDRAWN

    if rollout.status is RolloutStatus.COMPLETED:
        return VersionStatus.ACTIVE

    return spec.status


def check_pinned(
    tables: Tables, config: WorkspaceConfig, work: Work
) -> VersionId | Refusal:
    """Return the version a session is pinned to, or why it can't continue.

    A session never changes its version: the caller decides whether to start a new one.
    """
    spec = tables.versions.get(work.pinned)
    if spec is None or get_effective_status(tables, spec) is VersionStatus.WITHDRAWN:
        return refuse_withdrawn(work.pinned)

    if spec.version not in config.allowed:
        return _refuse_not_allowed(work.pinned)

    if work.model and work.model not in (spec.model, spec.version):
        message = f"the session keeps {spec.version}; {work.model} needs a new one"
        return Refusal("session_pinned", message, 409)

    return spec.version


def check_dispatch(tables: Tables, work: Work, version: VersionId) -> Refusal | None:
    """Return why ``version`` may no longer get ``work``, or None if it may.

    A version may be withdrawn while a request waits, so dispatch must check again.
    """
    config = tables.workspaces.get(work.workspace)
    if config is None or version not in config.allowed:
        return _refuse_not_allowed(version)

    spec = tables.versions.get(version)
    status = get_effective_status(tables, spec) if spec else VersionStatus.WITHDRAWN
    if status is VersionStatus.WITHDRAWN:
        return refuse_withdrawn(version)

    if status is VersionStatus.ENDING and work.pinned != version:
        return refuse_withdrawn(version)

    return None


def list_eligible(
    tables: Tables, config: WorkspaceConfig, work: Work
) -> tuple[VersionSpec, ...] | Refusal:
    """Return the active versions that new work may use, or why there is none."""
    specs = [
        tables.versions[item] for item in config.allowed if item in tables.versions
    ]
    if work.model:
        named = [spec for spec in specs if work.model in (spec.model, spec.version)]
        if not named:
            return _refuse_named(tables, work.model)

        specs = named

    eligible = tuple(
        spec
        for spec in specs
        if get_effective_status(tables, spec) is VersionStatus.ACTIVE
    )
    if eligible:
        return _prefer_loaded(tables, eligible)

    return _refuse_ineligible(tables, work, specs)


def is_loaded(tables: Tables, version: VersionId) -> bool:
    """Return whether a live upstream holds a version, according to the index.

    Without an index every version counts as loaded.
    """
    return not tables.holders or bool(tables.holders.get(version))


def _prefer_loaded(
    tables: Tables, eligible: tuple[VersionSpec, ...]
) -> tuple[VersionSpec, ...]:
    """Return the versions that some upstream holds, or all if none is loaded.

    If the best version has been registered but not loaded yet, or its engines are
    gone, every request would be refused although other versions are available.
    """
    loaded = tuple(spec for spec in eligible if is_loaded(tables, spec.version))
    return loaded or eligible


def refuse_withdrawn(version: str) -> Refusal:
    """Return the refusal of work that requires a withdrawn version."""
    return Refusal("version_withdrawn", f"version {version} is withdrawn", 410)


def get_exposure_weight(config: WorkspaceConfig) -> float:
    """Return the weight of exposure to bad versions, from 0 to 1; 1/3 is neutral."""
    weighing = config.weighing
    total = weighing.cost + weighing.latency + weighing.exposure
    return weighing.exposure / total if total > 0 else 1 / 3


def get_latency_weight(config: WorkspaceConfig) -> float:
    """Return the weight of latency, from 0 to 1; 1/3 is neutral."""
    weighing = config.weighing
    total = weighing.cost + weighing.latency + weighing.exposure
    return weighing.latency / total if total > 0 else 1 / 3


def _refuse_not_allowed(name: str) -> Refusal:
    message = f"the workspace does not allow {name}"
    return Refusal("model_not_allowed", message, 403)


def _refuse_named(tables: Tables, name: str) -> Refusal:
    if any(name in (spec.model, spec.version) for spec in tables.versions.values()):
        return _refuse_not_allowed(name)

    return Refusal("model_not_found", f"there is no model or version {name}", 404)


def _refuse_ineligible(tables: Tables, work: Work, specs: list[VersionSpec]) -> Refusal:
    statuses = {get_effective_status(tables, spec) for spec in specs}
    if work.model and VersionStatus.CANDIDATE not in statuses:
        return refuse_withdrawn(work.model)

    if work.model:
        message = f"{work.model} is being rolled out and can't be asked for yet"
        return Refusal("version_in_rollout", message, 409)

    message = "no version that the workspace allows is open for new work"
    return Refusal("no_version_open", message, 503)
