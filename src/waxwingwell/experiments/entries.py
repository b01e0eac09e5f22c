"""Simulated entries that use either the real decisions or a baseline policy."""

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
from .engines import count_cached_tokens
from .fleet_traffic import Request


if TYPE_CHECKING:
    from .fleet_traffic import Profile


VERSION = VersionId("assistant@1")
NO_EXPIRY = 1e12
CALLER_TIMEOUT_SECONDS = 8.0
"""Seconds that a caller waits for the first token."""
LIMITS = Limits(requests_per_second=10_000.0, max_in_flight=10_000, max_wait=5.0)
"""Limits wide enough that the engines' capacity, not a workspace's limit, binds."""


@dataclass(slots=True)
class Entry:
    """One entry: the tables of the real decisions, and counters for the baselines."""

    number: int
    data_centre: str
    tables: Tables
    budget: RetryBudget = field(default_factory=RetryBudget)
    in_flight: dict[str, int] = field(default_factory=dict)
    next_index: int = 0


@dataclass(frozen=True, slots=True)
class Policy:
    """How entries choose an engine; without a rule the real decisions are used."""

    name: str
    rule: Callable[[Entry, list[Engine], Request, Random], str] | None = None
    hide_prefixes: bool = False
    hide_sessions: bool = False
    ignore_dispatches: bool = False


def make_entry(profile: Profile, number: int, engines: list[Engine]) -> Entry:
    """Return an entry configured with every engine and workspace."""
    data_centre = profile.data_centres[number % len(profile.data_centres)]
    tables = Tables(
        one_way_seconds={
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
            announcement=announce_engine(engine), expires_at=NO_EXPIRY, heard_at=0.0
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
        lease=NO_EXPIRY,
        versions=(VERSION,),
        capacity=engine.capacity,
    )


def apply_ablation(policy: Policy, request: Request) -> Request:
    """Return the request without the fields that an ablation policy hides."""
    work = request.work
    if policy.hide_prefixes:
        work = replace(work, prefixes=(), prefix_tokens=())
    elif policy.hide_sessions:
        work = replace(work, session="")

    return replace(request, work=work) if work is not request.work else request


def pick_round_robin(
    entry: Entry, engines: list[Engine], request: Request, random: Random
) -> str:
    """Pick all engines in rotation, independently at each entry."""
    entry.next_index += 1
    return engines[(entry.next_index + entry.number) % len(engines)].name


def pick_least_in_flight(
    entry: Entry, engines: list[Engine], request: Request, random: Random
) -> str:
    """Pick the engine with the fewest of this entry's requests; ties are random."""
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
    """Pick the session's engine by rendezvous hash, with bounded loads.

    An engine that has ``HASH_BOUND`` times its fair share is skipped.
    """
    names = [engine.name for engine in engines]
    total = sum(entry.in_flight.get(name, 0) for name in names) + 1
    bound = max(HASH_BOUND * total / len(names), 1.0)
    work = request.work
    while names:
        preferred = find_home(work, (UpstreamId(name) for name in names))
        name = preferred or random.choice(names)
        if entry.in_flight.get(name, 0) < bound:
            return name

        names.remove(name)

    return pick_least_in_flight(entry, engines, request, random)


def pick_by_oracle(
    entry: Entry, engines: list[Engine], request: Request, random: Random
) -> str:
    """Pick the engine with the earliest first token by its true state (an oracle)."""
    one_way_seconds = entry.tables.one_way_seconds
    rank = list(type(request.work.priority)).index(request.work.priority)

    def estimate_first_token(engine: Engine) -> float:
        ahead = sum(
            job.prefill_left for order, _, job in engine.prefill_queue if order <= rank
        )
        new = request.work.prompt_tokens - count_cached_tokens(engine, request)
        excess = max(engine.used_slots + len(engine.waiting) + 1 - engine.capacity, 0)
        wait = (
            excess * request.work.answer_tokens / engine.decode_rate / engine.capacity
        )
        round_trip = 2.0 * one_way_seconds[engine.data_centre]
        return round_trip + wait + (ahead + new) / engine.prefill_rate

    return min(engines, key=estimate_first_token).name


HASH_BOUND = 1.25
REAL = Policy("waxwingwell")
LEAST_IN_FLIGHT = Policy("least in flight", pick_least_in_flight)
BASELINES = (
    Policy("round robin", pick_round_robin),
    LEAST_IN_FLIGHT,
    Policy("random of two", pick_of_two),
    Policy("hash, bounded", pick_by_hash),
    Policy("oracle", pick_by_oracle),
)
ABLATIONS = (
    Policy("without prefixes", hide_prefixes=True),
    Policy("without homes", hide_sessions=True),
    Policy("without own dispatches", ignore_dispatches=True),
)
