"""Choice of version: the cheapest that meets the quality target with confidence.

Design and what lost against it: docs/design/version-choice.md.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from ..records import VersionId
from ..records import WorkspaceConfig
from .cascades import CascadeOption
from .cascades import find_threshold
from .eligibility import check_pinned
from .eligibility import get_exposure
from .eligibility import get_latency
from .eligibility import list_open
from .evidence import CREDIT_CAP
from .evidence import count_cell_outstanding
from .offers import is_candidate_open
from .quality import Estimate
from .quality import estimate_escalated
from .quality import estimate_quality
from .tables import QualityAccount
from .tables import Refusal
from .tables import Work


if TYPE_CHECKING:
    from ..records import VersionSpec
    from .tables import Tables


RATING_STALE = 120.0
"""Seconds without any rating after which the ratings count as stopped."""
LEAST_RATED = 8.0
"""Own ratings below which a version is unknown, whatever its prior says."""
RATE_ALL_BELOW = 30.0
"""Own ratings below which every answer is rated."""
REJECT_DEVIATIONS = 3.0
"""Standard errors below the target at which a version is no longer explored."""
CASCADE_TRIM = 0.02
"""How far below the target a cascade may aim when credit is at its cap."""
SINGLE_TRIM = 0.01
"""The same for a single version."""
LATENCY_TOLL = 0.1
"""Part of a cost that a cascade must save to make up for its second answer."""
DOUBT_DEVIATIONS = 5.0
"""The same for a version with few ratings, whose first ones may have been unlucky."""
EXPLORE_CHANCE = 0.8
EXPLORE_BASE = 300.0
"""Answers for one workspace and kind that may always be explored."""
EXPLORE_CREDIT = -1.5
"""Rating points of credit below which nothing is explored until the debt is paid."""
EXPLORE_OUTSTANDING = 12
"""Cap on explored answers whose rating is outstanding, since ratings lag."""
DEBT_RAISE = 0.01
"""Rise of the target for each rating point of debt."""
MOST_RAISE = 0.05
RATING_SHARE = 0.01
"""Share of an answer's cost that its ratings may always cost."""
EXPOSURE_SHARE = 0.01
"""What is added to it if exposure is all that counts."""
CLOSE_DEVIATIONS = 2.0
"""Standard errors above the target within which a version is a close call."""
CLOSE_FACTOR = 1.5
"""How much more often the answers of a close call are rated."""
STOPPED_RATE = 0.25
"""Share of answers rated while ratings have stopped, to notice their return."""
SECOND_DRAW = 7919.0
"""Factor that turns one draw into a second one, independent enough for sampling."""


@dataclass(frozen=True, slots=True)
class VersionChoice:
    """The versions to try, cheapest first, and how to treat their answers."""

    plan: tuple[VersionId, ...]
    threshold: float
    """Rating at or above which a cascade stops; 0 for a single version."""
    rate: bool
    """Whether the answer that is served goes to the rating service.

    The earlier answers of a cascade are always rated before they are served.
    """
    reason: str
    explored: bool = False
    """Whether the exploration budget pays for it."""


@dataclass(frozen=True, slots=True)
class _Option:
    """An open version with what is known of it for the request at hand."""

    version: VersionId
    cost: float
    estimate: Estimate


@dataclass(frozen=True, slots=True)
class _Case:
    """What all steps of one choice need."""

    config: WorkspaceConfig
    work: Work
    options: tuple[_Option, ...]
    account: QualityAccount
    target: float
    caution: float
    """Standard errors by which a mean must exceed the target."""


def choose_version(
    tables: Tables, work: Work, *, now: float, draw: float
) -> VersionChoice | Refusal:
    """Choose the version, or cascade, that answers ``work``.

    ``draw`` is uniform in 0 to 1. A refusal is final: the request was not run.
    """
    config = tables.workspaces.get(work.workspace)
    if config is None:
        message = f"there is no workspace {work.workspace}"
        return Refusal("workspace_not_found", message, 404)

    stopped = have_ratings_stopped(tables, now)
    if work.pinned:
        return _choose_pinned(tables, config, work, draw, stopped=stopped)

    opened = list_open(tables, config, work)
    if isinstance(opened, Refusal):
        return opened

    case = _build_case(tables, config, work, opened)
    if stopped:
        return _choose_blind(case, draw)

    choice = _choose_by_quality(tables, case, now, draw)
    return _offer_candidate(tables, case, choice, now)


def have_ratings_stopped(tables: Tables, now: float) -> bool:
    """Tell whether no rating came for so long that the evidence grows stale."""
    return not tables.rating_heard_at or now - tables.rating_heard_at > RATING_STALE


def should_pin(work: Work, choice: VersionChoice) -> bool:
    """Tell whether the session must be pinned to the choice's version."""
    return bool(work.session) and not work.pinned and len(choice.plan) == 1


def get_sample_share(config: WorkspaceConfig, cost: float, price: float) -> float:
    """Return the share of a known version's answers to rate.

    Exposure is found as fast as answers are rated, so its weight sets the share;
    dear answers are rated more often, since a rating adds little to their cost.
    """
    exposure = get_exposure(config)
    share = 0.05 + 0.15 * exposure
    if price <= 0.0:
        return share

    spent = RATING_SHARE + EXPOSURE_SHARE * exposure
    return min(1.0, max(share, spent * cost / price))


def get_explore_limit(
    config: WorkspaceConfig, account: QualityAccount, entries: int
) -> float:
    """Return how many answers of a workspace and kind may have been explored."""
    freedom = 1.0 - get_exposure(config)
    base = EXPLORE_BASE * freedom / max(1, entries)
    return base + 0.05 * freedom * account.sent


def _choose_pinned(
    tables: Tables, config: WorkspaceConfig, work: Work, draw: float, *, stopped: bool
) -> VersionChoice | Refusal:
    version = check_pinned(tables, config, work)
    if isinstance(version, Refusal):
        return version

    rollout = tables.rollouts.get(tables.versions[version].model)
    watched = rollout is not None and rollout.candidate == version
    estimate = estimate_quality(tables, work.workspace, work.kind.name, version)
    cost = _get_cost(tables.versions[version], work)
    share = get_sample_share(config, cost, tables.rating_price)
    if stopped:
        share = STOPPED_RATE
    elif watched or estimate.rated < RATE_ALL_BELOW:
        share = 1.0

    rate = _draw_again(draw) < share
    return VersionChoice((version,), 0.0, rate, "the session keeps its version")


def _build_case(
    tables: Tables,
    config: WorkspaceConfig,
    work: Work,
    opened: tuple[VersionSpec, ...],
) -> _Case:
    options = [
        _Option(
            spec.version,
            _get_cost(spec, work),
            estimate_quality(tables, work.workspace, work.kind.name, spec.version),
        )
        for spec in opened
    ]
    options.sort(key=lambda option: (option.cost, option.version))
    account = tables.accounts.get((work.workspace, work.kind.name), QualityAccount())
    raised = min(MOST_RAISE, max(0.0, -account.credit) * DEBT_RAISE)
    full = 0.5 + 2.0 * get_exposure(config)
    return _Case(
        config=config,
        work=work,
        options=tuple(options),
        account=account,
        target=work.kind.quality_target + raised,
        caution=full * (1.0 - max(-1.0, account.credit / CREDIT_CAP)),
    )


def _get_cost(spec: VersionSpec, work: Work) -> float:
    return spec.price_in * work.prompt_tokens + spec.price_out * work.answer_tokens


def _choose_by_quality(
    tables: Tables, case: _Case, now: float, draw: float
) -> VersionChoice:
    main = _find_main(case)
    explored = _find_explored(tables, case, main, now, draw)
    if explored is not None:
        reason = f"explores {explored.version}, whose quality is not known yet"
        return VersionChoice((explored.version,), 0.0, True, reason, explored=True)

    cascade = _find_cascade(tables, case, main, draw)
    if cascade is not None:
        return cascade

    rate = _draw_rate(tables, case, main, main.estimate, draw)
    reason = "cheapest that meets the target with confidence"
    if not _is_confident(case, main):
        reason = "none meets the target with confidence; this is the best known"

    return VersionChoice((main.version,), 0.0, rate, reason)


def _draw_rate(
    tables: Tables, case: _Case, option: _Option, estimate: Estimate, draw: float
) -> bool:
    if estimate.rated < RATE_ALL_BELOW:
        return True

    share = get_sample_share(case.config, option.cost, tables.rating_price)
    if estimate.mean - case.target < CLOSE_DEVIATIONS * estimate.error:
        share *= CLOSE_FACTOR

    return _draw_again(draw) < share


def _choose_blind(case: _Case, draw: float) -> VersionChoice:
    """Choose while ratings have stopped: nothing new, nothing that needs a rating.

    Failure: the rating service is down, so a bad turn would not be seen and a
    cascade would wait for ratings that never come. Only versions with ratings of
    their own, or else the best expected one, get work, and the caution is doubled.
    """
    careful = replace(case, caution=2.0 * case.caution + 1.0)
    main = _find_safest(careful)
    rate = _draw_again(draw) < STOPPED_RATE
    reason = "ratings have stopped: no exploring, no candidate, no cascade"
    return VersionChoice((main.version,), 0.0, rate, reason)


def _is_confident(case: _Case, option: _Option) -> bool:
    estimate = option.estimate
    if estimate.rated < LEAST_RATED:
        return False

    aim = case.target - SINGLE_TRIM * _get_spare(case)
    return estimate.mean - case.caution * estimate.error >= aim


def _find_main(case: _Case) -> _Option:
    """Return the cheapest confident option, or else the most promising one.

    Failure: the best version known misses the target, and a better but unknown one
    never gets a request because caution counts against it. Its chances count here.
    """
    for option in case.options:
        if _is_confident(case, option):
            return option

    return max(
        case.options, key=lambda option: option.estimate.mean + option.estimate.error
    )


def _find_safest(case: _Case) -> _Option:
    """Return the cheapest confident option, or else the one least likely to be bad."""
    for option in case.options:
        if _is_confident(case, option):
            return option

    return max(
        case.options,
        key=lambda option: option.estimate.mean - case.caution * option.estimate.error,
    )


def _find_explored(
    tables: Tables, case: _Case, main: _Option, now: float, draw: float
) -> _Option | None:
    """Return the version most worth exploring, when budget and draw allow."""
    limit = get_explore_limit(case.config, case.account, tables.entries)
    if draw >= EXPLORE_CHANCE or case.account.explored + 1 > limit:
        return None

    if case.account.credit < EXPLORE_CREDIT:
        return None

    best: _Option | None = None
    worth = 0.0
    for option in case.options:
        if option.cost >= main.cost:
            break

        found = (main.cost - option.cost) * _get_promise(case, option)
        if found > worth and _may_wait(tables, case, option, now):
            best = option
            worth = found

    return best


def _get_promise(case: _Case, option: _Option) -> float:
    """Return by how much a version is expected to exceed the target, if it does.

    This is the expected improvement (Jones, Schonlau and Welch, 1998): it is small
    for what is known to miss the target and for what is known too well to surprise.
    """
    estimate = option.estimate
    distance = (estimate.mean - case.target) / estimate.error
    cutoff = REJECT_DEVIATIONS if estimate.rated >= LEAST_RATED else DOUBT_DEVIATIONS
    if distance < -cutoff:
        return 0.0

    density = math.exp(-0.5 * distance * distance) / math.sqrt(2.0 * math.pi)
    chance = 0.5 * math.erfc(-distance / math.sqrt(2.0))
    return estimate.error * (density + distance * chance)


def _may_wait(tables: Tables, case: _Case, option: _Option, now: float) -> bool:
    """Tell whether few enough explored answers wait for their rating."""
    key = (case.work.workspace, case.work.kind.name, option.version)
    return count_cell_outstanding(tables, key, now) < EXPLORE_OUTSTANDING


def _may_cascade(work: Work) -> bool:
    """Tell whether the caller can wait for an answer to be rated and replaced.

    A session keeps one version and a stream shows its answer at once.
    """
    return work.kind.waits_for_whole and not work.stream and not work.session


def _find_cascade(
    tables: Tables, case: _Case, main: _Option, draw: float
) -> VersionChoice | None:
    """Return the cascade that undercuts ``main``, if any.

    Pairs are ranked with an optimistic mean of the cheap version: its answers are
    rated before they are served, so that trying it costs little quality. The
    threshold comes from the mean itself.
    """
    work = case.work
    if not _may_cascade(work):
        return None

    least = main.cost / (1.0 + LATENCY_TOLL * get_latency(case.config))
    found: tuple[_Option, _Option, Estimate] | None = None
    for strong in case.options:
        escalated = estimate_escalated(
            tables, work.workspace, work.kind.name, strong.version, strong.estimate
        )
        for cheap in case.options:
            if cheap.cost + tables.rating_price >= least or cheap.cost >= strong.cost:
                break

            bright = replace(
                cheap.estimate, mean=cheap.estimate.mean + cheap.estimate.error
            )
            option = _weigh_cascade(
                tables, case, bright, escalated, (cheap.cost, strong.cost)
            )
            if option is not None and option.cost < least:
                least = option.cost
                found = (cheap, strong, escalated)

    if found is None:
        return None

    cheap, strong, escalated = found
    option = _weigh_cascade(
        tables, case, cheap.estimate, escalated, (cheap.cost, strong.cost)
    )
    threshold = option.threshold if option else escalated.mean
    rate = _draw_rate(tables, case, strong, escalated, draw)
    reason = "a cascade is expected to cost least"
    return VersionChoice((cheap.version, strong.version), threshold, rate, reason)


def _weigh_cascade(
    tables: Tables,
    case: _Case,
    cheap: Estimate,
    escalated: Estimate,
    costs: tuple[float, float],
) -> CascadeOption | None:
    return find_threshold(
        cheap,
        escalated.mean,
        cheap_cost=costs[0],
        strong_cost=costs[1],
        rating_price=tables.rating_price,
        target=case.target
        - CASCADE_TRIM * _get_spare(case)
        + case.caution * escalated.error,
    )


def _get_spare(case: _Case) -> float:
    """Return how much credit there is to spare, 0 to 1 at the cap.

    Failure: versions on the target's edge stay unsure, a dear one far above it
    serves everything, and quality is paid for that nobody asked for. With credit to
    spare the aim is trimmed; credit falls when that was too much, and ends it.
    """
    return max(0.0, 2.0 * case.account.credit / CREDIT_CAP - 1.0)


def _offer_candidate(
    tables: Tables, case: _Case, choice: VersionChoice, now: float
) -> VersionChoice:
    """Put a roll-out's candidate in its incumbent's place for its share of sessions.

    Who asks for the incumbent by its full name gets it.
    """
    for rollout in tables.rollouts.values():
        if rollout.incumbent not in choice.plan or case.work.model == rollout.incumbent:
            continue

        if not is_candidate_open(tables, case.config, case.work, rollout, now):
            continue

        plan = tuple(
            rollout.candidate if version == rollout.incumbent else version
            for version in choice.plan
        )
        reason = f"new session in the share of stage {rollout.stage} of a roll-out"
        return replace(choice, plan=plan, rate=True, reason=reason, explored=False)

    return choice


def _draw_again(draw: float) -> float:
    return draw * SECOND_DRAW % 1.0
