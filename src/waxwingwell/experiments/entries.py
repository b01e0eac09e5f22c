"""Entries of the experiment: the real tables and decisions, or a baseline's rule."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from random import Random
from typing import TYPE_CHECKING

from ..decisions.prefixes import find_home
from ..decisions.retries import RetryBudget
from ..decisions.tables import Tables
from ..decisions.tables import UpstreamRow
from ..decisions.tables import WorkspaceDemand
from ..records import Announcement
from ..records import Limits
from ..records import UpstreamId
from ..records import UpstreamKind
from ..records import VersionId
from ..records import WorkspaceConfig
from ..records import WorkspaceId
from .engines import Engine
from .engines import count_cached
from .fleet_traffic import Request


if TYPE_CHECKING:
    from .fleet_traffic import Profile


VERSION = VersionId("assistant@1")
NEVER = 1e12
PATIENCE = 8.0
"""Seconds that a caller waits for the first token."""
LIMITS = Limits(requests_per_second=10_000.0, max_in_flight=10_000, max_wait=5.0)
"""Wide limits: the experiments are about the engines' bounds, not a workspace's."""


@dataclass(slots=True)
class Entry:
    """One entry: the tables of the real decisions, and plain counts for baselines."""

    number: int
    data_centre: str
    tables: Tables
    budget: RetryBudget = field(default_factory=RetryBudget)
    in_flight: dict[str, int] = field(default_factory=dict)
    turn: int = 0


@dataclass(frozen=True, slots=True)
class Policy:
    """How entries choose; without a rule the real decisions are used."""

    name: str
    rule: Callable[[Entry, list[Engine], Request, Random], str] | None = None
    hide_prefixes: bool = False
    hide_sessions: bool = False
    ignore_dispatches: bool = False


def make_entry(profile: Profile, number: int, engines: list[Engine]) -> Entry:
    """Return an entry that knows every engine and workspace."""
    data_centre = profile.data_centres[number % len(profile.data_centres)]
    tables = Tables(
        distances={
            name: 0.0003 if name == data_centre else profile.one_way
            for name in profile.data_centres
        }
    )
    for index in range(profile.workspaces):
        workspace = WorkspaceId(f"w{index}")
        tables.workspaces[workspace] = WorkspaceConfig(
            workspace=workspace,
            revision=1,
            allowed=(VERSION,),
            kinds=(),
            limits=LIMITS,
        )
        tables.demand[workspace] = WorkspaceDemand()

    for engine in engines:
        upstream = UpstreamId(engine.name)
        tables.upstreams[upstream] = UpstreamRow(
            announcement=announce_engine(engine), expires_at=NEVER, heard_at=0.0
        )

    return Entry(number, data_centre, tables)


def announce_engine(engine: Engine) -> Announcement:
    """Return the announcement of an engine, without load."""
    return Announcement(
        upstream=UpstreamId(engine.name),
        incarnation=1,
        sequence=1,
        kind=UpstreamKind.MODEL,
        data_centre=engine.data_centre,
        host="127.0.0.1",
        port=1,
        lease=NEVER,
        versions=(VERSION,),
        capacity=engine.capacity,
    )


def hide_parts(policy: Policy, request: Request) -> Request:
    """Return the request as a policy with parts left out gets to see it."""
    work = request.work
    if policy.hide_prefixes:
        work = replace(work, prefixes=(), prefix_tokens=())
    elif policy.hide_sessions:
        work = replace(work, session="")

    return replace(request, work=work) if work is not request.work else request


def pick_round_robin(
    entry: Entry, engines: list[Engine], request: Request, random: Random
) -> str:
    """Go round all engines in turn, each entry by itself."""
    entry.turn += 1
    return engines[(entry.turn + entry.number) % len(engines)].name


def pick_least_in_flight(
    entry: Entry, engines: list[Engine], request: Request, random: Random
) -> str:
    """Pick the engine with the fewest of this entry's requests; ties are drawn."""
    least = min(entry.in_flight.get(engine.name, 0) for engine in engines)
    names = [
        engine.name
        for engine in engines
        if entry.in_flight.get(engine.name, 0) == least
    ]
    return random.choice(names)


def pick_of_two(
    entry: Entry, engines: list[Engine], request: Request, random: Random
) -> str:
    """Pick the one of two random engines with fewer of this entry's requests."""
    first, second = random.sample(engines, 2)
    if entry.in_flight.get(second.name, 0) < entry.in_flight.get(first.name, 0):
        return second.name

    return first.name


def pick_by_hash(
    entry: Entry, engines: list[Engine], request: Request, random: Random
) -> str:
    """Pick the session's home, or the next one while it has 1.25 times its share."""
    names = [engine.name for engine in engines]
    total = sum(entry.in_flight.get(name, 0) for name in names) + 1
    bound = max(HASH_BOUND * total / len(names), 1.0)
    work = request.work
    while names:
        home = find_home(work, (UpstreamId(name) for name in names))
        name = home or random.choice(names)
        if entry.in_flight.get(name, 0) < bound:
            return name

        names.remove(name)

    return pick_least_in_flight(entry, engines, request, random)


def pick_by_truth(
    entry: Entry, engines: list[Engine], request: Request, random: Random
) -> str:
    """Pick the engine with the soonest first token by its true state (the oracle)."""
    distances = entry.tables.distances
    rank = list(type(request.work.priority)).index(request.work.priority)

    def measure(engine: Engine) -> float:
        ahead = sum(job.to_read for order, _, job in engine.to_read if order <= rank)
        new = request.work.prompt_tokens - count_cached(engine, request)
        over = max(engine.places + len(engine.waiting) + 1 - engine.capacity, 0)
        wait = over * request.work.answer_tokens / engine.decode_rate / engine.capacity
        way = 2.0 * distances[engine.data_centre]
        return way + wait + (ahead + new) / engine.prefill_rate

    return min(engines, key=measure).name


HASH_BOUND = 1.25
REAL = Policy("waxwingwell")
LEAST_IN_FLIGHT = Policy("least in flight", pick_least_in_flight)
BASELINES = (
    Policy("round robin", pick_round_robin),
    LEAST_IN_FLIGHT,
    Policy("random of two", pick_of_two),
    Policy("hash, bounded", pick_by_hash),
    Policy("oracle", pick_by_truth),
)
ABLATIONS = (
    Policy("without prefixes", hide_prefixes=True),
    Policy("without homes", hide_sessions=True),
    Policy("without own dispatches", ignore_dispatches=True),
)
