"""Fixtures for the tests of versions, evidence and roll-outs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from waxwingwell.decisions.evidence import record_rating
from waxwingwell.decisions.evidence import record_sent
from waxwingwell.decisions.tables import Tables
from waxwingwell.decisions.tables import Work
from waxwingwell.records import Evidence
from waxwingwell.records import Priority
from waxwingwell.records import Rollout
from waxwingwell.records import RolloutPace
from waxwingwell.records import VersionId
from waxwingwell.records import VersionSpec
from waxwingwell.records import VersionStatus
from waxwingwell.records import WorkKind
from waxwingwell.records import WorkspaceConfig
from waxwingwell.records import WorkspaceId


if TYPE_CHECKING:
    from collections.abc import Sequence


WORKSPACE = WorkspaceId("bole")
QUESTION = WorkKind("question", Priority.QUESTION, quality_target=0.7)
REPORT = WorkKind("report", Priority.REPORT, quality_target=0.8, waits_for_whole=True)
CHEAP = VersionId("small@1")
CANDIDATE = VersionId("small@2")
STRONG = VersionId("large@1")


def make_spec(
    version: VersionId,
    price: float,
    prior: float = 0.7,
    status: VersionStatus = VersionStatus.ACTIVE,
) -> VersionSpec:
    return VersionSpec(version, version.split("@")[0], price, price, prior, status)


def make_rollout(stage: int = 0, pace: RolloutPace | None = None) -> Rollout:
    return Rollout("small", CANDIDATE, CHEAP, pace or RolloutPace(), stage=stage)


def make_tables(rollout: Rollout | None = None) -> Tables:
    """Return tables with one workspace that allows small@1, small@2 and large@1."""
    specs = (
        make_spec(CHEAP, 1.0),
        make_spec(CANDIDATE, 1.0, status=VersionStatus.CANDIDATE),
        make_spec(STRONG, 10.0, prior=0.9),
    )
    config = WorkspaceConfig(
        workspace=WORKSPACE,
        revision=1,
        allowed=tuple(spec.version for spec in specs),
        kinds=(QUESTION, REPORT),
    )
    return Tables(
        workspaces={WORKSPACE: config},
        versions={spec.version: spec for spec in specs},
        rollouts={} if rollout is None else {rollout.model: rollout},
    )


def make_work(
    kind: WorkKind = QUESTION,
    *,
    request: str = "r",
    model: str = "",
    session: str = "",
    pinned: str = "",
    stream: bool = False,
) -> Work:
    return Work(
        request,
        WORKSPACE,
        kind,
        kind.priority,
        model=model,
        session=session,
        pinned=VersionId(pinned),
        stream=stream,
        prompt_tokens=10,
        answer_tokens=10,
    )


def rate_responses(
    tables: Tables,
    version: VersionId,
    ratings: Sequence[float],
    now: float,
    kind: WorkKind = QUESTION,
) -> None:
    """Record one request and its rating for each of ``ratings``."""
    for rating in ratings:
        record_sent(tables, make_work(kind), version, rate=True, now=now)
        record_rating(tables, WORKSPACE, kind, version, rating, now)


def make_row(
    version: VersionId, ratings: Sequence[float], kind: str = "question"
) -> Evidence:
    count = len(ratings)
    squares = sum(rating * rating for rating in ratings)
    return Evidence(version, WORKSPACE, kind, count, sum(ratings), squares, count)
