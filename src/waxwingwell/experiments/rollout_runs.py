"""Many roll-outs over fakes: who is withdrawn, and how many answers were bad.

New sessions of one request each arrive at a fixed rate, in many workspaces and
kinds of unlike size. The candidate's offer, the evidence and the judgement are the
product's; only the versions' quality and the ratings are fakes.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

from ..decisions.evidence import note_rating
from ..decisions.evidence import note_sent
from ..decisions.evidence import note_unrated
from ..decisions.offers import is_candidate_open
from ..decisions.rollouts import RolloutAction
from ..decisions.rollouts import judge_rollout
from ..decisions.rollouts import step_rollouts
from ..decisions.rollouts import take_base
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
from .worlds import DEVIATION
from .worlds import KINDS
from .worlds import WEIGHINGS
from .worlds import Cell
from .worlds import clip
from .worlds import mean_clipped


INCUMBENT = VersionId("m@1")
CANDIDATE = VersionId("m@2")
WORKSPACES = 10
SESSIONS = 40_000
"""New sessions in the life of one roll-out."""
RATE = 20.0
"""New sessions a second."""
LOOK_EVERY = 10.0
"""Seconds between two judgements."""
RATING_LAG = 10.0
MISSING = 0.05
SAMPLE = 0.1
"""Share of the incumbent's answers that is rated."""
HISTORY = 9000
"""Ratings of the incumbent before the roll-out, over all workspaces and kinds."""
CANARY_SHARE = 0.1
TURN_STAGE = 3
"""Stage, from 0, at whose beginning a turning candidate becomes bad."""
FIRST_BAD = 0.1
LAST_BAD = 0.4


@dataclass(frozen=True, slots=True)
class Case:
    """One roll-out's hidden truth."""

    profile: str
    seed: str
    loss: float = 0.0
    """What the candidate loses against the incumbent, 0 if it is as good."""
    turns: bool = False
    """The loss begins only at ``TURN_STAGE``."""


@dataclass(slots=True)
class Run:
    """What one roll-out came to."""

    withdrawn: bool = False
    completed: bool = False
    bad: int = 0
    """Answers by the candidate while it was bad."""
    ended_at: float = 0.0


@dataclass(slots=True)
class Scene:
    """Tables, truth and ratings under way of one run."""

    case: Case
    rng: random.Random
    tables: Tables
    cells: list[tuple[WorkspaceConfig, WorkKind]]
    weights: list[float]
    means: dict[Cell, float]
    rollout: Rollout
    lost: float = 0.0
    """Present loss of the candidate."""
    waiting: list[tuple[float, int]] = field(default_factory=list)
    answers: list[tuple[Work, VersionId, float, bool]] = field(default_factory=list)


def run_staged(case: Case) -> Run:
    """Run the product's staged roll-out to its end or the end of the sessions."""
    scene = _make_scene(case)
    run = Run()
    look = LOOK_EVERY
    for number in range(SESSIONS):
        now = 1.0 + number / RATE
        _deliver(scene, now)
        work = _draw_work(scene, number)
        config = scene.tables.workspaces[work.workspace]
        offered = is_candidate_open(scene.tables, config, work, scene.rollout, now)
        _answer(scene, run, work, now, candidate=offered or run.completed)
        if now < look or run.withdrawn:
            continue

        look = now + LOOK_EVERY
        _look(scene, run, now)
        if run.withdrawn or (run.completed and not case.loss):
            break

    return run


def run_canary(case: Case, window: int) -> Run:
    """Give a tenth of the sessions to the candidate; test once after ``window``.

    A bad candidate that passes is not counted beyond the window, which favours the
    canary. A turning one turns when it has passed.
    """
    scene = _make_scene(case)
    run = Run()
    for number in range(SESSIONS):
        now = 1.0 + number / RATE
        _deliver(scene, now)
        work = _draw_work(scene, number)
        share = 1.0 if run.completed else CANARY_SHARE
        _answer(scene, run, work, now, candidate=scene.rng.random() < share)
        if number + 1 != window:
            continue

        verdict = judge_rollout(
            scene.rollout, _rows(scene, CANDIDATE), _rows(scene, INCUMBENT), now
        )
        run.ended_at = now
        run.withdrawn = verdict.action is RolloutAction.ROLL_BACK
        run.completed = not run.withdrawn
        if run.withdrawn or not case.turns:
            break

        scene.lost = case.loss

    return run


def _look(scene: Scene, run: Run, now: float) -> None:
    rows = scene.tables.evidence.values()
    for step in step_rollouts({"m": scene.rollout}, rows, now):
        advanced = step.stage > scene.rollout.stage
        scene.rollout = replace(
            scene.rollout,
            stage=step.stage,
            status=step.status,
            stage_at=now,
            base=take_base(scene.rollout, rows) if advanced else scene.rollout.base,
        )
        scene.tables.rollouts["m"] = scene.rollout
        if scene.case.turns and step.stage >= TURN_STAGE:
            scene.lost = scene.case.loss

    run.withdrawn = scene.rollout.status is RolloutStatus.ROLLED_BACK
    if scene.rollout.status is not RolloutStatus.RUNNING and not run.ended_at:
        run.ended_at = now

    run.completed = scene.rollout.status is RolloutStatus.COMPLETED


def _answer(scene: Scene, run: Run, work: Work, now: float, *, candidate: bool) -> None:
    version = CANDIDATE if candidate else INCUMBENT
    mean = scene.means[work.workspace, work.kind.name]
    if candidate:
        mean -= scene.lost
        run.bad += int(scene.lost > 0.0)

    rate = candidate or scene.rng.random() < SAMPLE
    note_sent(scene.tables, work, version, rate=rate, now=now)
    if not rate:
        return

    rating = clip(scene.rng.gauss(mean, DEVIATION))
    due = now + scene.rng.expovariate(1.0 / RATING_LAG)
    heapq.heappush(scene.waiting, (due, len(scene.answers)))
    scene.answers.append((work, version, rating, scene.rng.random() < MISSING))


def _deliver(scene: Scene, now: float) -> None:
    while scene.waiting and scene.waiting[0][0] <= now:
        due, place = heapq.heappop(scene.waiting)
        work, version, rating, missing = scene.answers[place]
        if missing:
            note_unrated(scene.tables, work.workspace, work.kind, version)
        else:
            note_rating(scene.tables, work.workspace, work.kind, version, rating, due)


def _draw_work(scene: Scene, number: int) -> Work:
    (cell,) = scene.rng.choices(scene.cells, cum_weights=scene.weights)
    config, kind = cell
    return Work(str(number), config.workspace, kind, kind.priority)


def _rows(scene: Scene, version: VersionId) -> list[Evidence]:
    return [row for row in scene.tables.evidence.values() if row.version == version]


def _make_scene(case: Case) -> Scene:
    rng = random.Random(f"{case.profile}/{case.seed}")
    tables = Tables(rating_heard_at=1.0)
    for version, status in (
        (INCUMBENT, VersionStatus.ACTIVE),
        (CANDIDATE, VersionStatus.CANDIDATE),
    ):
        tables.versions[version] = VersionSpec(version, "m", 1.0, 1.0, 0.8, status)

    configs = [
        WorkspaceConfig(
            workspace=WorkspaceId(f"w{place}"),
            revision=1,
            allowed=(INCUMBENT, CANDIDATE),
            kinds=KINDS,
            weighing=WEIGHINGS[case.profile],
        )
        for place in range(WORKSPACES)
    ]
    tables.workspaces = {config.workspace: config for config in configs}
    cells = [(config, kind) for config in configs for kind in KINDS]
    sizes = [1.0 / (1 + place // len(KINDS)) for place in range(len(cells))]
    scene = Scene(
        case=case,
        rng=rng,
        tables=tables,
        cells=cells,
        weights=[sum(sizes[: place + 1]) for place in range(len(sizes))],
        means={
            (config.workspace, kind.name): rng.uniform(0.7, 0.9)
            for config, kind in cells
        },
        rollout=Rollout("m", CANDIDATE, INCUMBENT, RolloutPace()),
        lost=0.0 if case.turns else case.loss,
    )
    tables.rollouts["m"] = scene.rollout
    _add_history(scene, sizes)
    return scene


def _add_history(scene: Scene, sizes: list[float]) -> None:
    """Add the incumbent's earlier ratings as sums, drawn one by one."""
    for (config, kind), size in zip(scene.cells, sizes, strict=True):
        mean = scene.means[config.workspace, kind.name]
        count = int(HISTORY * size / sum(sizes))
        ratings = [clip(scene.rng.gauss(mean, DEVIATION)) for _ in range(count)]
        key = (config.workspace, kind.name, INCUMBENT)
        scene.tables.evidence[key] = Evidence(
            INCUMBENT,
            config.workspace,
            kind.name,
            rated=count,
            total=sum(ratings),
            squares=sum(rating * rating for rating in ratings),
        )


def get_true_loss(mean: float, loss: float) -> float:
    """Return the loss of mean rating after clipping."""
    return mean_clipped(mean, DEVIATION) - mean_clipped(mean - loss, DEVIATION)
