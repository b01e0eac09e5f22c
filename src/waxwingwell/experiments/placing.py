"""Many gateways that place streams on a few engines, without a network.

Gateways run the product's own tables and choice. They tell each other what they sent in
sums that lag, as over the controls; engines read prompts one after the other and keep
the parts that they have read.
"""

from __future__ import annotations

import heapq
import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

from ..routing.fleet import Announcement
from ..routing.fleet import UpstreamState
from ..routing.health import HealthTable
from ..routing.load import LoadTable
from ..routing.load import begin_use
from ..routing.load import end_prefill
from ..routing.load import end_use
from ..routing.load import list_use
from ..routing.load import take_sum
from ..routing.messages import UpstreamUse
from ..routing.placement import Demand
from ..routing.placement import Placement
from ..routing.placement import Surroundings
from ..routing.pools import Pool
from ..routing.pools import list_pool
from ..routing.prefixes import Part
from ..routing.prefixes import PrefixTable
from ..routing.prefixes import drop_news
from ..routing.prefixes import list_news
from ..routing.prefixes import note_parts
from ..routing.prefixes import take_told
from ..routing.records import Service
from ..routing.reports import add_use


SUM_SECONDS = 0.25
"""Between two sums; each holds reports that are as old at most."""
FIRST_EVENT_SECONDS = 0.025
"""To connect, begin and make the first event of an empty prompt."""
MODELS = ("small", "large")


@dataclass(frozen=True, slots=True)
class Kind:
    """Streams of one kind."""

    rate: float
    """A second, over all gateways."""
    first_part: int
    """Tokens that all requests share."""
    subject_part: int
    """Tokens that requests on the same subject share."""
    own_part: int
    subjects: int
    answer: int
    """Tokens."""


@dataclass(frozen=True, slots=True)
class Deployment:
    """Engines and traffic."""

    data_centres: int
    engines: int
    slots: int
    memory_tokens: int
    read_ms: tuple[float, float]
    """Milliseconds that a prompt token takes the small and the large model."""
    step_ms: tuple[float, float]
    """Milliseconds of a generated token, by model."""
    kinds: tuple[Kind, ...]
    unsure: float = 0.5
    """Share of small answers that are asked again of the large model."""


@dataclass(slots=True)
class Engine:
    """One engine: what it reads, and what it keeps."""

    news: Announcement
    free_at: float = 0.0
    """When all prompts that wait will have been read."""
    running: int = 0
    sends: int = 0
    read_tokens: int = 0
    kept: OrderedDict[tuple[str, str], int] = field(default_factory=OrderedDict)
    kept_tokens: int = 0


@dataclass(slots=True)
class Gateway:
    """One gateway's tables."""

    data_centre: str
    load: LoadTable = field(default_factory=LoadTable)
    prefixes: PrefixTable = field(default_factory=PrefixTable)
    health: HealthTable = field(default_factory=HealthTable)
    reported: tuple[UpstreamUse, ...] = ()


@dataclass(frozen=True, slots=True)
class Sent:
    """One stream as it was placed."""

    at: float
    wait: float
    """Seconds until its first event."""
    shared: int
    """Tokens of its prompt that others share."""
    found: int
    """Those that its engine had kept."""
    far: bool


Choose = Callable[
    [Demand, list[Announcement], Surroundings, float, Callable[[], float]],
    Placement | None,
]


@dataclass(slots=True)
class Play:
    """One run; events are callables by the time at which they are due."""

    deployment: Deployment
    choose: Choose
    random: random.Random
    engines: dict[str, Engine] = field(default_factory=dict)
    gateways: list[Gateway] = field(default_factory=list)
    events: list[tuple[float, int, Callable[[float], None]]] = field(
        default_factory=list
    )
    counter: int = 0
    sent: list[Sent] = field(default_factory=list)


def play_placing(
    deployment: Deployment,
    choose: Choose,
    *,
    gateways: int,
    seconds: float,
    seed: int,
) -> Play:
    """Play some seconds of traffic; raises ``ValueError`` if there is none."""
    if gateways < 1 or seconds <= 0:
        raise ValueError("gateways and seconds must be above 0")

    play = Play(deployment, choose, random.Random(seed))
    for place in range(deployment.engines):
        engine = make_engine(deployment, place)
        play.engines[engine.news.upstream] = engine

    for place in range(gateways):
        name = f"dc{place % deployment.data_centres}"
        play.gateways.append(Gateway(name))

    for kind in deployment.kinds:
        plan_arrival(play, kind, 0.0)

    plan(play, SUM_SECONDS, lambda now: share_sums(play, now))
    run_events(play, seconds)
    return play


def make_engine(deployment: Deployment, place: int) -> Engine:
    """Return an engine; engines are spread over the data centres."""
    return Engine(
        Announcement(
            upstream=f"engine-{place}",
            service="chat",
            host="127.0.0.1",
            port=9_000 + place,
            data_centre=f"dc{place % deployment.data_centres}",
            version="v1",
            slots=deployment.slots,
            state=UpstreamState.SERVING,
            incarnation=1,
            sequence=1,
        )
    )


def plan(play: Play, at: float, run: Callable[[float], None]) -> None:
    """Run something at a time."""
    play.counter += 1
    heapq.heappush(play.events, (at, play.counter, run))


def run_events(play: Play, until: float) -> None:
    """Run all events that are due before a time."""
    while play.events and play.events[0][0] < until:
        at, _, run = heapq.heappop(play.events)
        run(at)


def plan_arrival(play: Play, kind: Kind, now: float) -> None:
    """Plan the next request of a kind."""

    def arrive(at: float) -> None:
        gateway = play.random.choice(play.gateways)
        parts = draw_parts(play, kind)
        send(play, gateway, kind, parts, MODELS[0], at)
        plan_arrival(play, kind, at)

    plan(play, now + play.random.expovariate(kind.rate), arrive)


def draw_parts(play: Play, kind: Kind) -> tuple[Part, ...]:
    """Return a request's prompt."""
    subject = play.random.randrange(kind.subjects)
    return (
        (f"{kind.rate}", kind.first_part),
        (f"{kind.rate}/{subject}", kind.subject_part),
        (f"own-{play.counter}", kind.own_part),
    )


def send(
    play: Play,
    gateway: Gateway,
    kind: Kind,
    parts: tuple[Part, ...],
    model: str,
    now: float,
) -> None:
    """Place a request, and plan what its engine does."""
    deployment = play.deployment
    place = MODELS.index(model)
    pool = list_pool(list(play.engines), Pool.LARGE if place else Pool.SMALL)
    demand = Demand(
        service=Service(
            name="chat",
            slots=deployment.slots,
            memory_tokens=deployment.memory_tokens,
        ),
        model=model,
        prompt_tokens=sum(tokens for _, tokens in parts),
        parts=parts,
        token_ms=deployment.read_ms[place],
        pool=pool,
    )
    around = Surroundings(
        data_centre=gateway.data_centre,
        load=gateway.load,
        health=gateway.health,
        prefixes=gateway.prefixes,
    )
    candidates = [one.news for one in play.engines.values()]
    placement = play.choose(demand, candidates, around, now, play.random.random)
    if placement is None:
        return

    engine = play.engines[placement.upstream.upstream]
    found = read_prompt(engine, deployment, model, parts)
    uncached = demand.prompt_tokens - found
    begin_use(gateway.load, engine.news.upstream, placement.work)
    engine.free_at = max(engine.free_at, now) + uncached * demand.token_ms / 1000
    first_at = engine.free_at + FIRST_EVENT_SECONDS
    note_sent(play, gateway, engine, parts, first_at - now, found, now)
    asks_again = place == 0 and play.random.random() < deployment.unsure

    def begin(at: float) -> None:
        end_prefill(gateway.load, engine.news.upstream, placement.work)
        note_parts(gateway.prefixes, engine.news.upstream, model, parts, at)
        if asks_again:
            end(at)
            send(play, gateway, kind, parts, MODELS[1], at)
            return

        pace = deployment.step_ms[place] * (1 + engine.running / deployment.slots)
        plan(play, at + kind.answer * pace / 1000, end)

    def end(at: float) -> None:
        engine.running -= 1
        end_use(gateway.load, engine.news.upstream)

    plan(play, first_at, begin)


def note_sent(
    play: Play,
    gateway: Gateway,
    engine: Engine,
    parts: tuple[Part, ...],
    wait: float,
    found: int,
    now: float,
) -> None:
    """Count a stream that was placed."""
    engine.running += 1
    engine.sends += 1
    play.sent.append(
        Sent(
            at=now,
            wait=wait,
            shared=sum(tokens for _, tokens in parts[:-1]),
            found=found,
            far=engine.news.data_centre != gateway.data_centre,
        )
    )


def read_prompt(
    engine: Engine, deployment: Deployment, model: str, parts: tuple[Part, ...]
) -> int:
    """Read a prompt; return the tokens that were kept of it."""
    found = 0
    missed = False
    for part, tokens in parts:
        key = (model, part)
        missed = missed or key not in engine.kept
        if not missed:
            found += tokens
            engine.kept.move_to_end(key)
            continue

        engine.read_tokens += tokens
        if key not in engine.kept:
            engine.kept[key] = tokens
            engine.kept_tokens += tokens

    while engine.kept_tokens > deployment.memory_tokens:
        _, tokens = engine.kept.popitem(last=False)
        engine.kept_tokens -= tokens

    return found


def share_sums(play: Play, now: float) -> None:
    """Let all gateways report, and tell each the sum after the time it takes."""
    told: list[int] = []
    for gateway in play.gateways:
        gateway.reported = list_use(gateway.load)
        news = list_news(gateway.prefixes)
        drop_news(gateway.prefixes, news)
        told += news

    reported = [gateway.reported for gateway in play.gateways]
    total = add_use(use for one in reported for use in one)

    def tell(at: float) -> None:
        for gateway, ours in zip(play.gateways, reported, strict=True):
            count = len(play.gateways)
            take_sum(gateway.load, total, ours, work=0.0, gateways=count, now=at)
            take_told(gateway.prefixes, told, at)

    plan(play, now + SUM_SECONDS, tell)
    plan(play, now + SUM_SECONDS, lambda at: share_sums(play, at))
