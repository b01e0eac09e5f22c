"""Choosing an upstream among those that may run a request.

All costs are in milliseconds that the caller is expected to wait.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .fleet import Announcement
from .health import HealthTable
from .health import failure_share
from .health import is_paused
from .load import LoadTable
from .load import read_use
from .prefixes import Part
from .prefixes import PrefixTable
from .prefixes import expect_cached
from .prefixes import prefer_upstream
from .records import Service


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection


RUNNING_MS = 3.0
"""What each request already running at an engine adds to the wait for a first event."""
FULL_MS = 2_000.0
"""Added for each batch's worth of requests beyond the slots: they wait for a place."""
SLOT_MS = 25.0
"""About one call's work at a plain service. Comparing upstreams, each call beyond the
slots counts whole: a full service soon refuses, which costs another try."""
FAR_MS = 12.0
"""A new connection and a request to another data centre, two round trips."""
FAR_STREAM_MS = 60.0
"""What a stream from another data centre may cost. On calm links it loses no more
packets than one from here (0.7 and 2.0 pauses of 0.2 s in a thousand events); what is
left is the time of a handshake and the chance that just such a link turns bad."""
FAILURE_MS = 1_500.0
"""Cost of a failed try, against which an upstream's share of failures is weighed."""
SCATTER = 0.1
"""Share by which costs are scattered."""
FEW_UPSTREAMS = 4
"""Up to which all are compared; of more, a sample is drawn."""
REREAD_TOKEN_MS = 0.02
"""Least cost of a token that is read again, however fast the model: it pushes other
prompts' parts out of the engine's memory."""
WARMING_MS = 400.0
"""Added while an upstream that has just started is slow."""
STRAY_MS = 500.0
"""Cost of an engine that is kept for other models: streams there take a second or two
longer, which few callers notice; a queue of half a second at the model's own engines
means that they are full."""


@dataclass(frozen=True, slots=True)
class Demand:
    """What a request needs of an upstream."""

    service: Service
    model: str = ""
    prompt_tokens: int = 0
    parts: tuple[Part, ...] = ()
    token_ms: float = 0.02
    """Milliseconds that reading a prompt token takes the model."""
    pool: frozenset[str] = frozenset()
    """Engines kept for the model; empty: any."""


@dataclass(frozen=True, slots=True)
class Surroundings:
    """What a gateway knows when it places a request."""

    data_centre: str
    load: LoadTable
    health: HealthTable
    prefixes: PrefixTable


@dataclass(frozen=True, slots=True)
class Placement:
    """The upstream chosen, and what spoke for it."""

    upstream: Announcement
    cost: float
    """By which upstreams were compared."""
    wait: float
    """Milliseconds until the first event, as expected."""
    work: float
    """Milliseconds of reading that the request adds."""
    uncached: int
    """Prompt tokens that it will probably have to read."""
    running: int


def place_request(
    demand: Demand,
    candidates: Collection[Announcement],
    surroundings: Surroundings,
    now: float,
    draw: Callable[[], float],
) -> Placement | None:
    """Return the best upstream, or None if there is none.

    Upstreams that could not be reached are used only where no other is left. ``draw``
    returns a number from 0 to 1. Failure: all gateways read the same sums. If each took
    the best of all upstreams, hundreds would send to the same one until the next sum.
    """
    sound = [
        one
        for one in candidates
        if not is_paused(surroundings.health, one.upstream, now)
    ]
    usable = sound or list(candidates)
    if not usable:
        return None

    preferred = prefer_for(demand, usable, surroundings.data_centre)
    compared = usable
    if len(usable) > FEW_UPSTREAMS:
        compared = draw_sample(demand, usable, surroundings.data_centre, draw)
        compared += find_holder(demand, usable, surroundings, now, preferred=preferred)

    weighed = [
        weigh_upstream(demand, one, surroundings, now, preferred=preferred)
        for one in compared
    ]
    return min(weighed, key=lambda placement: placement.cost * scatter(draw))


def draw_sample(
    demand: Demand,
    usable: list[Announcement],
    data_centre: str,
    draw: Callable[[], float],
) -> list[Announcement]:
    """Return one upstream nearby, one of all, and one kept for other models.

    The better of a few drawn by lot spreads requests evenly, however many gateways
    there are and however old the sums.
    """
    kept = list_kept(demand, usable)
    near = [one for one in kept if one.data_centre == data_centre]
    strays = [one for one in usable if demand.pool and one.upstream not in demand.pool]
    groups = [group for group in (near, kept, strays) if group]
    return [group[min(int(draw() * len(group)), len(group) - 1)] for group in groups]


def find_holder(
    demand: Demand,
    usable: list[Announcement],
    surroundings: Surroundings,
    now: float,
    *,
    preferred: str,
) -> list[Announcement]:
    """Return the upstream that has probably cached most of the prompt, if any has."""
    if not demand.parts:
        return []

    expected, best = max(
        (
            (estimate_cached(demand, one, surroundings, now, preferred=preferred), one)
            for one in list_kept(demand, usable)
        ),
        key=lambda pair: pair[0],
    )
    return [best] if expected > 0.0 else []


def estimate_cached(
    demand: Demand,
    upstream: Announcement,
    surroundings: Surroundings,
    now: float,
    *,
    preferred: str,
) -> float:
    """Return the tokens of a request that an upstream probably need not read again."""
    return expect_cached(
        surroundings.prefixes,
        upstream.upstream,
        demand.model,
        demand.parts,
        now,
        preferred=upstream.upstream == preferred,
    )


def list_kept(demand: Demand, usable: list[Announcement]) -> list[Announcement]:
    """Return the upstreams that are kept for a request's model; all, if none is."""
    kept = [one for one in usable if one.upstream in demand.pool]
    return kept or usable


def scatter(draw: Callable[[], float]) -> float:
    """Return a factor by which one gateway's view differs from the others'."""
    return 1.0 + SCATTER * draw()


def prefer_for(demand: Demand, usable: list[Announcement], data_centre: str) -> str:
    """Return the upstream that should hold the largest shared part of the prompt.

    Each data centre has one of its own, if it has any upstream kept for the model.
    """
    shared = demand.parts[:-1]
    if not shared:
        return ""

    part = shared[-1][0]
    kept = list_kept(demand, usable)
    near = [one.upstream for one in kept if one.data_centre == data_centre]
    names = near or [one.upstream for one in kept]
    return prefer_upstream(names, f"{demand.model}/{part}")


def weigh_upstream(
    demand: Demand,
    upstream: Announcement,
    surroundings: Surroundings,
    now: float,
    *,
    preferred: str,
) -> Placement:
    """Return an upstream with the wait that is expected there."""
    use = read_use(surroundings.load, upstream.upstream)
    wait = 1.0
    if upstream.data_centre != surroundings.data_centre:
        wait += FAR_STREAM_MS if demand.service.memory_tokens else FAR_MS

    if upstream.warming > 0:
        wait += WARMING_MS

    uncached = 0
    crowding = 0.0
    slots = upstream.slots or demand.service.slots or 1
    over = max(use.running + 1 - slots, 0)
    if demand.service.memory_tokens:
        cached = estimate_cached(
            demand, upstream, surroundings, now, preferred=preferred
        )
        uncached = max(int(demand.prompt_tokens - cached), 0)
        wait += use.backlog + uncached * demand.token_ms
        wait += RUNNING_MS * use.running + FULL_MS * over / slots
    else:
        wait += SLOT_MS * (use.running + over) / slots
        crowding = SLOT_MS * over

    stray = STRAY_MS if demand.pool and upstream.upstream not in demand.pool else 0.0
    reread = uncached * max(REREAD_TOKEN_MS - demand.token_ms, 0.0)
    failing = failure_share(surroundings.health, upstream.upstream, now)
    return Placement(
        upstream=upstream,
        cost=wait + crowding + reread + stray + FAILURE_MS * failing,
        wait=wait,
        work=uncached * demand.token_ms,
        uncached=uncached,
        running=use.running,
    )
