"""Simulated roll-outs: whether the candidate is withdrawn, and the bad responses.

New sessions of one request each arrive at a fixed rate, in many workspaces and kinds of
work of different sizes. Offers of the candidate, evidence and the evaluation are the
product's; only the quality of the versions and the ratings are simulated.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

from ..decisions.evidence import record_rating
from ..decisions.evidence import record_sent
from ..decisions.evidence import record_unrated
from ..decisions.offers import is_candidate_offered
from ..decisions.rollouts import RolloutAction
from ..decisions.rollouts import evaluate_rollout
from ..decisions.rollouts import select_base
from ..decisions.rollouts import step_rollouts
from ..decisions.tables import Tables
from ..decisions.tables import Work
from ..records import Evidence
from ..records import Rollout
from ..records import RolloutPace
from ..records import RolloutStatus
from ..records import VersionId
from ..records import VersionSpec
from ..records import VersionStatus
from ..records import WorkKind
from ..records import WorkspaceConfig
from ..records import WorkspaceId
from .worlds import KINDS
from .worlds import STANDARD_DEVIATION
from .worlds import WEIGHINGS
from .worlds import Cell
from .worlds import clip
from .worlds import mean_clipped


INCUMBENT = VersionId("m@1")
CANDIDATE = VersionId("m@2")
WORKSPACES = 10
SESSIONS = 40_000
"""New sessions during one roll-out."""
SESSIONS_PER_SECOND = 20.0
"""New sessions a second."""
EVALUATION_INTERVAL_SECONDS = 10.0
"""Seconds between two evaluations."""
MEAN_RATING_DELAY_SECONDS = 10.0
MISSING_SHARE = 0.05
SAMPLE_SHARE = 0.1
"""Share of the incumbent's responses that is rated."""
HISTORY_RATINGS = 9000
"""Ratings of the incumbent before the roll-out, over all workspaces and kinds of
work."""
CANARY_SHARE = 0.1
DEGRADATION_STAGE = 3
"""Stage, counted from 0, at the start of which a degrading candidate becomes bad."""
MIN_BAD_LOSS = 0.1
MAX_BAD_LOSS = 0.4


@dataclass(frozen=True, slots=True)
class RolloutCase:
    """The hidden quality of one roll-out's candidate."""

    profile: str
    seed: str
    loss: float = 0.0
    """Quality that the candidate lacks against the incumbent; 0 if it is as good."""
    degrades: bool = False
    """Whether the loss starts only at ``DEGRADATION_STAGE``."""


@dataclass(slots=True)
class RolloutResult:
    """The outcome of one roll-out."""

    withdrawn: bool = False
    completed: bool = False
    bad: int = 0
    """Responses served by the candidate while it was bad."""
    ended_at: float = 0.0


@dataclass(slots=True)
class RolloutSimulation:
    """The tables, the true quality and the pending ratings of one run."""

    case: RolloutCase
    rng: random.Random
    tables: Tables
    cells: list[tuple[WorkspaceConfig, WorkKind]]
    weights: list[float]
    means: dict[Cell, float]
    rollout: Rollout
    current_loss: float = 0.0
    """Current loss of the candidate."""
    pending_ratings: list[tuple[float, int]] = field(default_factory=list)
    served: list[tuple[Work, VersionId, float, bool]] = field(default_factory=list)


def run_staged(case: RolloutCase) -> RolloutResult:
    """Run the product's staged roll-out until it, or the traffic, ends."""
    simulation = _make_simulation(case)
    result = RolloutResult()
    evaluate_at = EVALUATION_INTERVAL_SECONDS
    for number in range(SESSIONS):
        now = 1.0 + number / SESSIONS_PER_SECOND
        _deliver_ratings(simulation, now)
        work = _draw_work(simulation, number)
        config = simulation.tables.workspaces[work.workspace]
        offered = is_candidate_offered(
            simulation.tables, config, work, simulation.rollout, now
        )
        _serve(simulation, result, work, now, candidate=offered or result.completed)
        if now < evaluate_at or result.withdrawn:
            continue

        evaluate_at = now + EVALUATION_INTERVAL_SECONDS
        _evaluate(simulation, result, now)
        if result.withdrawn or (result.completed and not case.loss):
            break

    return result


def run_canary(case: RolloutCase, window: int) -> RolloutResult:
    """Give a tenth of the sessions to the candidate; evaluate once after ``window``.

    The responses of a bad candidate that passes are not counted beyond the window,
    which favours the canary. A degrading candidate degrades once it has passed.
    """
    simulation = _make_simulation(case)
    result = RolloutResult()
    for number in range(SESSIONS):
        now = 1.0 + number / SESSIONS_PER_SECOND
        _deliver_ratings(simulation, now)
        work = _draw_work(simulation, number)
        share = 1.0 if result.completed else CANARY_SHARE
        _serve(simulation, result, work, now, candidate=simulation.rng.random() < share)
        if number + 1 != window:
            continue

        verdict = evaluate_rollout(
            simulation.rollout,
            _list_evidence(simulation, CANDIDATE),
            _list_evidence(simulation, INCUMBENT),
            now,
        )
        result.ended_at = now
        result.withdrawn = verdict.action is RolloutAction.ROLL_BACK
        result.completed = not result.withdrawn
        if result.withdrawn or not case.degrades:
            break

        simulation.current_loss = case.loss

    return result


def _evaluate(simulation: RolloutSimulation, result: RolloutResult, now: float) -> None:
    rows = simulation.tables.evidence.values()
    for step in step_rollouts({"m": simulation.rollout}, rows, now):
        advanced = step.stage > simulation.rollout.stage
        simulation.rollout = replace(
            simulation.rollout,
            stage=step.stage,
            status=step.status,
            stage_at=now,
            base=select_base(simulation.rollout, rows)
            if advanced
            else simulation.rollout.base,
        )
        simulation.tables.rollouts["m"] = simulation.rollout
        if simulation.case.degrades and step.stage >= DEGRADATION_STAGE:
            simulation.current_loss = simulation.case.loss

    result.withdrawn = simulation.rollout.status is RolloutStatus.ROLLED_BACK
    if simulation.rollout.status is not RolloutStatus.RUNNING and not result.ended_at:
        result.ended_at = now

    result.completed = simulation.rollout.status is RolloutStatus.COMPLETED


def _serve(
    simulation: RolloutSimulation,
    result: RolloutResult,
    work: Work,
    now: float,
    *,
    candidate: bool,
) -> None:
    version = CANDIDATE if candidate else INCUMBENT
    mean = simulation.means[work.workspace, work.kind.name]
    if candidate:
        mean -= simulation.current_loss
        result.bad += int(simulation.current_loss > 0.0)

    rate = candidate or simulation.rng.random() < SAMPLE_SHARE
    record_sent(simulation.tables, work, version, rate=rate, now=now)
    if not rate:
        return

    rating = clip(simulation.rng.gauss(mean, STANDARD_DEVIATION))
    due = now + simulation.rng.expovariate(1.0 / MEAN_RATING_DELAY_SECONDS)
    heapq.heappush(simulation.pending_ratings, (due, len(simulation.served)))
    simulation.served.append(
        (work, version, rating, simulation.rng.random() < MISSING_SHARE)
    )


def _deliver_ratings(simulation: RolloutSimulation, now: float) -> None:
    while simulation.pending_ratings and simulation.pending_ratings[0][0] <= now:
        due, index = heapq.heappop(simulation.pending_ratings)
        work, version, rating, missing = simulation.served[index]
        if missing:
            record_unrated(simulation.tables, work.workspace, work.kind, version)
        else:
            record_rating(
                simulation.tables, work.workspace, work.kind, version, rating, due
            )


def _draw_work(simulation: RolloutSimulation, number: int) -> Work:
    (cell,) = simulation.rng.choices(simulation.cells, cum_weights=simulation.weights)
    config, kind = cell
    return Work(str(number), config.workspace, kind, kind.priority)


def _list_evidence(simulation: RolloutSimulation, version: VersionId) -> list[Evidence]:
    return [
        row for row in simulation.tables.evidence.values() if row.version == version
    ]


def _make_simulation(case: RolloutCase) -> RolloutSimulation:
    rng = random.Random(f"{case.profile}/{case.seed}")
    tables = Tables(last_rating_at=1.0)
    for version, status in (
        (INCUMBENT, VersionStatus.ACTIVE),
        (CANDIDATE, VersionStatus.CANDIDATE),
    ):
        tables.versions[version] = VersionSpec(version, "m", 1.0, 1.0, 0.8, status)

    configs = [
        WorkspaceConfig(
            workspace=WorkspaceId(f"w{index}"),
            revision=1,
            allowed=(INCUMBENT, CANDIDATE),
            kinds=KINDS,
            weighing=WEIGHINGS[case.profile],
        )
        for index in range(WORKSPACES)
    ]
    tables.workspaces = {config.workspace: config for config in configs}
    cells = [(config, kind) for config in configs for kind in KINDS]
    sizes = [1.0 / (1 + index // len(KINDS)) for index in range(len(cells))]
    simulation = RolloutSimulation(
        case=case,
        rng=rng,
        tables=tables,
        cells=cells,
        weights=[sum(sizes[: index + 1]) for index in range(len(sizes))],
        means={
            (config.workspace, kind.name): rng.uniform(0.7, 0.9)
            for config, kind in cells
        },
        rollout=Rollout("m", CANDIDATE, INCUMBENT, RolloutPace()),
        current_loss=0.0 if case.degrades else case.loss,
    )
    tables.rollouts["m"] = simulation.rollout
    _add_history(simulation, sizes)
    return simulation


def _add_history(simulation: RolloutSimulation, sizes: list[float]) -> None:
    """Add totals of the incumbent's earlier ratings, which are drawn one by one."""
    for (config, kind), size in zip(simulation.cells, sizes, strict=True):
        mean = simulation.means[config.workspace, kind.name]
        count = int(HISTORY_RATINGS * size / sum(sizes))
        ratings = [
            clip(simulation.rng.gauss(mean, STANDARD_DEVIATION)) for _ in range(count)
        ]
        key = (config.workspace, kind.name, INCUMBENT)
        simulation.tables.evidence[key] = Evidence(
            INCUMBENT,
            config.workspace,
            kind.name,
            rated=count,
            total=sum(ratings),
            squares=sum(rating * rating for rating in ratings),
        )


def get_true_loss(mean: float, loss: float) -> float:
    """Return the loss of the mean rating after clipping."""
    return mean_clipped(mean, STANDARD_DEVIATION) - mean_clipped(
        mean - loss, STANDARD_DEVIATION
    )
