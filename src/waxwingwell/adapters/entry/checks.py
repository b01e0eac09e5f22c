"""Checks at admission, repeated at dispatch after every wait."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...decisions.eligibility import check_dispatch as find_refusal
from ...invariants import Invariant
from ...invariants import check
from ...records import OutcomeKind
from ...records import VersionId
from ...records import VersionStatus
from ...records import WorkspaceConfig
from ...records import WorkspaceId
from ...state.leases import may_admit
from .replies import Problem
from .replies import make_problem


if TYPE_CHECKING:
    from ...decisions.tables import Work
    from .context import EntryContext


LEASE_RETRY_AFTER = 2.0
"""Seconds in which an entry that lost its lease has time to renew it."""


def check_lease(context: EntryContext) -> None:
    """Refuse work while this entry's configuration may be outdated."""
    if may_admit(context.lease, context.clock()):
        return

    raise Problem(
        status=503,
        code="configuration_lease_expired",
        message="this entry can't confirm its configuration; nothing was run",
        retry_after=LEASE_RETRY_AFTER,
    )


def get_config(context: EntryContext, workspace: WorkspaceId) -> WorkspaceConfig:
    """Return a workspace's configuration; ``Problem`` 403 if it has none."""
    config = context.tables.workspaces.get(workspace)
    if config is None:
        raise Problem(
            status=403,
            code="unknown_workspace",
            message=f"workspace {workspace!r} is not configured",
        )

    return config


def check_dispatch(context: EntryContext, work: Work, version: VersionId) -> None:
    """Check lease, allowance and withdrawal at the moment of dispatch.

    A version that was open at admission may be withdrawn while the request waits in
    the queue or for its row. If this process was suspended meanwhile, the request is
    refused here too, since the lease has expired.
    """
    check_lease(context)
    refusal = find_refusal(context.tables, work, version)
    if refusal is not None:
        raise make_problem(refusal)


def assert_dispatch(context: EntryContext, work: Work, version: VersionId) -> None:
    """Assert the invariants about versions before work is sent to an upstream."""
    config = context.tables.workspaces.get(work.workspace)
    check(
        Invariant.ALLOWED_VERSION,
        config is not None and version in config.allowed,
        lambda: f"{work.request} was sent to {version}, not allowed in its workspace",
    )
    check(
        Invariant.NO_NEW_WORK_WHEN_WITHDRAWN,
        _accepts_work(context, version, pinned=work.pinned == version),
        lambda: f"{work.request} was sent to withdrawn version {version}",
    )


def assert_outcome(context: EntryContext, request: str, problem: Problem) -> None:
    """Assert that a request that is reported as "not run" reached no upstream."""
    check(
        Invariant.NOT_RUN_DID_NOT_RUN,
        problem.outcome is not OutcomeKind.NOT_RUN or request not in context.attempted,
        lambda: f"{request} was reported as not run after an attempt: {problem.code}",
    )


def _accepts_work(context: EntryContext, version: VersionId, *, pinned: bool) -> bool:
    spec = context.tables.versions.get(version)
    if spec is None or spec.status == VersionStatus.WITHDRAWN:
        return False

    return spec.status != VersionStatus.ENDING or pinned
