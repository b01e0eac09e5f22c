"""Choice of an upstream among those that may run a request.

All costs are expressed as milliseconds of expected wait.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from .capacity import EVEN
from .capacity import EngineFactors
from .capacity import draw_by_capacity
from .capacity import list_factors
from .engine_speeds import EngineSpeedTable
from .fleet import Announcement
from .health import HealthTable
from .health import failure_rate
from .health import is_backing_off
from .load import LoadTable
from .load import get_total_load
from .placement_cost import CALL_MS
from .placement_cost import QUEUED_BATCH_MS
from .placement_cost import estimate_memory_cost
from .placement_cost import estimate_share_cost
from .placement_cost import estimate_speed_cost
from .prefixes import PrefixTable
from .prefixes import PromptBlock
from .prefixes import estimate_cached_tokens
from .prefixes import prefer_upstream
from .records import Service


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection


RUNNING_REQUEST_MS = 3.0
"""Wait that each running request of an engine adds before a first event."""
REMOTE_MS = 12.0
"""Cost of a new connection and a request to another data centre: two round trips."""
REMOTE_STREAM_MS = 60.0
"""Cost of a stream from another data centre. On stable links it stalls no more often
from lost packets than a local one (0.7 and 2.0 pauses of 0.2 s per thousand events).
The cost is the handshake, and the risk that this link degrades."""
FAILURE_MS = 1_500.0
"""Cost of a failed attempt, multiplied by an upstream's failure rate."""
JITTER = 0.1
"""Largest relative random increase of a cost."""
MAX_COMPARED_UPSTREAMS = 4
"""Number of upstreams up to which all are compared; of more, a sample is drawn."""
MIN_PREFILL_TOKEN_MS = 0.02
"""Least cost of an uncached prompt token, however fast the model: it evicts blocks of
other prompts from the engine's cache."""
WARM_UP_MS = 400.0
"""Cost of an upstream that is still slow after its start."""
LONG_PREFILL_MS = 2_000.0
"""Prefill of a prompt from which more upstreams are compared. Such a prompt stalls the
streams of an engine most. Shorter ones are so frequent that they would meet at the same
engine before the next totals, and wait for each other."""
LONG_PREFILL_SAMPLE = 12
"""Number of upstreams of the pool that are compared for such a prompt."""
STALL_WEIGHT = 0.2
"""Weight of the pauses that a prefill causes in the streams that run on its engine,
against the wait of the request itself."""
OTHER_POOL_MS = 500.0
"""Cost of an engine in the pool for other models. Streams there take one or two seconds
longer, which few callers notice, while a queue of half a second at the engines of the
model's own pool means that these are at capacity."""


@dataclass(frozen=True, slots=True)
class Demand:
    """Requirements of a request that affect its placement."""

    service: Service
    model: str = ""
    prompt_tokens: int = 0
    prompt_blocks: tuple[PromptBlock, ...] = ()
    token_ms: float = 0.02
    """Milliseconds of prefill per prompt token of the model."""
    pause_ms: float = 0.0
    """Longest pause between two events that callers accept; 0 if it is unknown."""
    pool: frozenset[str] = frozenset()
    """Engines reserved for the model; any engine if empty."""
    output_tokens: int = 0
    """Output tokens that the request probably gets."""
    output_token_ms: float = 0.0
    """Milliseconds per output token of the model on the median engine; 0 if unknown."""
    time_left_ms: float = 0.0
    """Milliseconds until the caller's deadline; 0 if it is unknown."""
    urgency: int | None = None
    """Rank from 0, the most urgent; None if the request has none."""


@dataclass(frozen=True, slots=True)
class PlacementContext:
    """State of a gateway that placement depends on."""

    data_centre: str
    load: LoadTable
    health: HealthTable
    prefixes: PrefixTable
    engine_speeds: EngineSpeedTable = field(default_factory=EngineSpeedTable)


@dataclass(frozen=True, slots=True)
class Placement:
    """An upstream with the estimates by which it was compared."""

    upstream: Announcement
    cost: float
    """Expected wait plus penalties; the upstream with the lowest cost is chosen."""
    wait: float
    """Expected milliseconds until the first event."""
    work: float
    """Milliseconds of prefill that the request adds, on the median engine."""
    uncached: int
    """Prompt tokens that probably need prefill."""
    running: int
    factor: float = 1.0
    """Duration factor of the upstream."""


def place_request(
    demand: Demand,
    candidates: Collection[Announcement],
    context: PlacementContext,
    now: float,
    draw: Callable[[], float],
) -> Placement | None:
    """Return the upstream with the lowest cost, or None if there is none.

    Unreachable upstreams are used only if no other is left. ``draw`` returns a random
    number from 0 to 1. Only a sample is compared, because all gateways have the same
    totals: if each took the best of all upstreams, hundreds of gateways would send to
    the same one until the next totals.
    """
    reachable = [
        one
        for one in candidates
        if not is_backing_off(context.health, one.upstream, now)
    ]
    usable = reachable or list(candidates)
    if not usable:
        return None

    factors = list_factors(context.engine_speeds, usable, now)
    preferred = choose_preferred(demand, usable, context.data_centre, factors)
    compared = usable
    if len(usable) > MAX_COMPARED_UPSTREAMS:
        compared = draw_sample(demand, usable, context.data_centre, draw, factors)
        compared += find_best_cached(demand, usable, context, now, preferred=preferred)

    placements = [
        estimate_cost(demand, one, context, now, preferred=preferred, factors=factors)
        for one in compared
    ]
    return min(placements, key=lambda placement: placement.cost * draw_jitter(draw))


def draw_sample(
    demand: Demand,
    usable: list[Announcement],
    data_centre: str,
    draw: Callable[[], float],
    factors: EngineFactors = EVEN,
) -> list[Announcement]:
    """Return a random local upstream, one of the whole pool, and one of the other pool.

    They are drawn by capacity. For a long prompt more of the pool are added, and for
    each slow engine another one, as all local ones may be slow. Choosing the best of a
    few random upstreams spreads requests evenly, regardless of the number of gateways
    and the age of the totals.
    """
    members = list_pool_members(demand, usable)
    local = [one for one in members if one.data_centre == data_centre]
    other_pool = [
        one for one in usable if demand.pool and one.upstream not in demand.pool
    ]
    groups = [group for group in (local, members, other_pool) if group]
    if demand.prompt_tokens * demand.token_ms >= LONG_PREFILL_MS:
        groups += [members] * LONG_PREFILL_SAMPLE

    sample = [draw_by_capacity(group, factors, draw) for group in groups]
    slow = [one for one in sample if factors.find(one.upstream) > 1.0]
    sample += [draw_by_capacity(members, factors, draw) for _ in slow]
    return sample


def find_best_cached(
    demand: Demand,
    usable: list[Announcement],
    context: PlacementContext,
    now: float,
    *,
    preferred: str,
) -> list[Announcement]:
    """Return the upstream with the most expected cached tokens, if any has some."""
    if not demand.prompt_blocks:
        return []

    expected, best = max(
        (
            (estimate_cached(demand, one, context, now, preferred=preferred), one)
            for one in list_pool_members(demand, usable)
        ),
        key=lambda pair: pair[0],
    )
    return [best] if expected > 0.0 else []


def estimate_cached(
    demand: Demand,
    upstream: Announcement,
    context: PlacementContext,
    now: float,
    *,
    preferred: str,
) -> float:
    """Return the expected number of a request's tokens that an upstream has cached."""
    return estimate_cached_tokens(
        context.prefixes,
        upstream.upstream,
        demand.model,
        demand.prompt_blocks,
        now,
        preferred=upstream.upstream == preferred,
    )


def list_pool_members(demand: Demand, usable: list[Announcement]) -> list[Announcement]:
    """Return the upstreams in the pool of a request's model, or all if none is."""
    members = [one for one in usable if one.upstream in demand.pool]
    return members or usable


def draw_jitter(draw: Callable[[], float]) -> float:
    """Return a random cost factor, so that gateways don't choose alike."""
    return 1.0 + JITTER * draw()


def choose_preferred(
    demand: Demand,
    usable: list[Announcement],
    data_centre: str,
    factors: EngineFactors = EVEN,
) -> str:
    """Return the upstream that should cache the longest shared prefix of the prompt.

    Each data centre that has an upstream in the model's pool has one of its own. Slow
    engines are preferred for fewer prompts.
    """
    shared = demand.prompt_blocks[:-1]
    if not shared:
        return ""

    block = shared[-1][0]
    members = list_pool_members(demand, usable)
    local = [one.upstream for one in members if one.data_centre == data_centre]
    names = local or [one.upstream for one in members]
    capacities = {
        name: factors.find_coarse_capacity(name)
        for name in names
        if name in factors.factors
    }
    return prefer_upstream(names, f"{demand.model}/{block}", capacities)


def estimate_stall_cost(running: int, prefill_ms: float, pause_ms: float) -> float:
    """Return the cost of the pauses in the streams that run on an engine.

    While an engine processes prompts, its streams get a token per chunk of these, so
    that a long backlog of prefill delays their next event beyond ``pause_ms``.
    """
    return STALL_WEIGHT * running * prefill_ms * prefill_ms / pause_ms


def estimate_cost(
    demand: Demand,
    upstream: Announcement,
    context: PlacementContext,
    now: float,
    *,
    preferred: str,
    factors: EngineFactors = EVEN,
) -> Placement:
    """Return an upstream with its expected wait and cost for a request."""
    use = get_total_load(context.load, upstream.upstream)
    factor = factors.find(upstream.upstream)
    wait = 1.0
    if upstream.data_centre != context.data_centre:
        wait += REMOTE_STREAM_MS if demand.service.memory_tokens else REMOTE_MS

    if upstream.warming > 0:
        wait += WARM_UP_MS

    uncached = 0
    contention = 0.0
    slots = upstream.slots or demand.service.slots or 1
    excess = max(use.running + 1 - slots, 0)
    if demand.service.memory_tokens:
        cached = estimate_cached(demand, upstream, context, now, preferred=preferred)
        uncached = max(int(demand.prompt_tokens - cached), 0)
        wait += (use.backlog + uncached * demand.token_ms) * factor
        queue = RUNNING_REQUEST_MS * use.running + QUEUED_BATCH_MS * excess / slots
        wait += queue * factor
        contention = estimate_memory_cost(demand, use.tokens, factor)
        contention += estimate_share_cost(use.running, slots, factor)
    else:
        wait += CALL_MS * factor * (use.running + excess) / slots
        contention = CALL_MS * excess * factor

    if demand.pause_ms > 0:
        prefill = (use.backlog + uncached * demand.token_ms) * factor
        contention += estimate_stall_cost(use.running, prefill, demand.pause_ms)

    if factors.factors:
        contention += estimate_speed_cost(demand, wait, factor, factors.fastest)

    other_pool_cost = (
        OTHER_POOL_MS if demand.pool and upstream.upstream not in demand.pool else 0.0
    )
    recompute = uncached * max(MIN_PREFILL_TOKEN_MS - demand.token_ms, 0.0)
    failures = failure_rate(context.health, upstream.upstream, now)
    return Placement(
        upstream=upstream,
        cost=wait + contention + recompute + other_pool_cost + FAILURE_MS * failures,
        wait=wait,
        work=uncached * demand.token_ms,
        uncached=uncached,
        running=use.running,
        factor=factor,
    )
