"""Choice of version: the cheapest that meets the quality target with confidence.

Design and rejected alternatives: docs/design/version-choice.md.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from ..records import VersionId
from .cascades import find_cascade
from .eligibility import check_pinned
from .eligibility import list_eligible
from .exploration import find_option_to_explore
from .offers import is_candidate_offered
from .options import build_context
from .options import find_primary
from .options import find_safest
from .options import get_cost
from .options import is_confident
from .quality import estimate_quality
from .sampling import MIN_ESCALATED_SHARE
from .sampling import RATE_ALL_BELOW
from .sampling import derive_draw
from .sampling import get_sample_share
from .sampling import should_rate
from .tables import Refusal


if TYPE_CHECKING:
    from ..records import WorkspaceConfig
    from .options import ChoiceContext
    from .tables import Tables
    from .tables import Work


RATING_STALE_SECONDS = 120.0
"""Seconds without any rating after which ratings count as stopped."""
STOPPED_RATING_SHARE = 0.25
"""Share of responses sent for rating while ratings have stopped, to detect recovery."""


@dataclass(frozen=True, slots=True)
class VersionChoice:
    """The versions to try, cheapest first, and how to handle their responses."""

    plan: tuple[VersionId, ...]
    threshold: float
    """Rating at or above which a cascade stops; 0 for a single version."""
    rate: bool
    """Whether the response that is served goes to the rating service.

    The earlier responses of a cascade are always rated before they may be served.
    """
    reason: str
    explored: bool = False
    """Whether the request counts against the exploration budget."""


def choose_version(
    tables: Tables, work: Work, *, now: float, draw: float
) -> VersionChoice | Refusal:
    """Choose the version or cascade for ``work``.

    ``draw`` is uniform in [0, 1). A refusal is final: the request was not run.
    """
    config = tables.workspaces.get(work.workspace)
    if config is None:
        message = f"there is no workspace {work.workspace}"
        return Refusal("workspace_not_found", message, 404)

    stopped = have_ratings_stopped(tables, now)
    if work.pinned:
        return _choose_pinned(tables, config, work, draw, stopped=stopped)

    eligible = list_eligible(tables, config, work)
    if isinstance(eligible, Refusal):
        return eligible

    context = build_context(tables, config, work, eligible)
    if stopped:
        return _choose_without_ratings(context, draw)

    choice = _choose_by_quality(tables, context, now, draw)
    return _substitute_candidate(tables, context, choice, now)


def have_ratings_stopped(tables: Tables, now: float) -> bool:
    """Return whether there is no rating yet, or the last one is stale."""
    return (
        not tables.last_rating_at or now - tables.last_rating_at > RATING_STALE_SECONDS
    )


def should_pin(work: Work, choice: VersionChoice) -> bool:
    """Return whether the session must be pinned to the chosen version."""
    return bool(work.session) and not work.pinned and len(choice.plan) == 1


def _choose_pinned(
    tables: Tables, config: WorkspaceConfig, work: Work, draw: float, *, stopped: bool
) -> VersionChoice | Refusal:
    version = check_pinned(tables, config, work)
    if isinstance(version, Refusal):
        return version

    rollout = tables.rollouts.get(tables.versions[version].model)
    is_candidate = rollout is not None and rollout.candidate == version
    estimate = estimate_quality(tables, work.workspace, work.kind.name, version)
    cost = get_cost(tables.versions[version], work)
    share = get_sample_share(config, cost, tables.rating_price)
    if stopped:
        share = STOPPED_RATING_SHARE
    elif is_candidate or estimate.rated < RATE_ALL_BELOW:
        share = 1.0

    rate = derive_draw(draw) < share
    return VersionChoice((version,), 0.0, rate, "the session keeps its version")


def _choose_by_quality(
    tables: Tables, context: ChoiceContext, now: float, draw: float
) -> VersionChoice:
    primary = find_primary(context)
    explored = find_option_to_explore(tables, context, primary, now, draw)
    if explored is not None:
        reason = f"explores {explored.version}, whose quality is not known yet"
        return VersionChoice((explored.version,), 0.0, True, reason, explored=True)

    cascade = find_cascade(tables, context, primary)
    if cascade is not None:
        plan = (cascade.cheap.version, cascade.strong.version)
        rate = should_rate(
            tables,
            context,
            cascade.strong,
            cascade.escalated,
            draw,
            min_share=MIN_ESCALATED_SHARE,
        )
        reason = "a cascade is expected to cost least"
        return VersionChoice(plan, cascade.threshold, rate, reason)

    rate = should_rate(tables, context, primary, primary.estimate, draw)
    reason = "cheapest that meets the target with confidence"
    if not is_confident(context, primary):
        reason = "none meets the target with confidence; this is the best known"

    return VersionChoice((primary.version,), 0.0, rate, reason)


def _choose_without_ratings(context: ChoiceContext, draw: float) -> VersionChoice:
    """Choose while ratings have stopped, without exploration, candidates or cascades.

    While the rating service is down, a fall in quality would go undetected and a
    cascade would wait for ratings that never arrive. Only versions with ratings of
    their own, or else the one with the best lower bound, get work, and the caution is
    more than doubled.
    """
    cautious = replace(context, caution=2.0 * context.caution + 1.0)
    primary = find_safest(cautious)
    rate = derive_draw(draw) < STOPPED_RATING_SHARE
    reason = "ratings have stopped: no exploring, no candidate, no cascade"
    return VersionChoice((primary.version,), 0.0, rate, reason)


def _substitute_candidate(
    tables: Tables, context: ChoiceContext, choice: VersionChoice, now: float
) -> VersionChoice:
    """Replace a roll-out's incumbent by its candidate for its share of sessions.

    Work that names the incumbent version explicitly gets it.
    """
    for rollout in tables.rollouts.values():
        if (
            rollout.incumbent not in choice.plan
            or context.work.model == rollout.incumbent
        ):
            continue

        if not is_candidate_offered(tables, context.config, context.work, rollout, now):
            continue

        plan = tuple(
            rollout.candidate if version == rollout.incumbent else version
            for version in choice.plan
        )
        reason = f"new session in the share of stage {rollout.stage} of a roll-out"
        return replace(choice, plan=plan, rate=True, reason=reason, explored=False)

    return choice
