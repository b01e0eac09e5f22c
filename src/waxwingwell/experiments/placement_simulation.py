"""A simulation of many gateways that place streams on few engines.

Gateways use the product's own tables and placement. They exchange their load in totals
that arrive late, as through the controls; engines prefill prompts one after the other
and cache their prompt blocks. Engines may differ in speed, and change it under way.
There is no network.
"""

from __future__ import annotations

import heapq
import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

from ..routing.capacity import list_factors
from ..routing.engine_speeds import EngineSpeedTable
from ..routing.fleet import Announcement
from ..routing.fleet import UpstreamState
from ..routing.health import HealthTable
from ..routing.load import LoadTable
from ..routing.load import add_running
from ..routing.load import apply_totals
from ..routing.load import list_own_load
from ..routing.load import remove_backlog
from ..routing.load import remove_running
from ..routing.messages import UpstreamUse
from ..routing.placement import Demand
from ..routing.placement import Placement
from ..routing.placement import PlacementContext
from ..routing.pools import Pool
from ..routing.pools import list_pool
from ..routing.prefixes import PrefixTable
from ..routing.prefixes import PromptBlock
from ..routing.prefixes import apply_reported_blocks
from ..routing.prefixes import list_unreported_blocks
from ..routing.prefixes import mark_reported
from ..routing.prefixes import record_blocks
from ..routing.records import Service
from ..routing.totals import sum_use


TOTALS_INTERVAL_SECONDS = 0.25
"""Seconds between two totals, and the delay of each."""
FIRST_EVENT_SECONDS = 0.025
"""Seconds to connect and to produce the first event of an empty prompt."""
MODELS = ("small", "large")


@dataclass(frozen=True, slots=True)
class StreamKind:
    """Rate and sizes of one kind of stream."""

    rate: float
    """Requests a second, over all gateways."""
    common_tokens: int
    """Prompt tokens that all requests share."""
    subject_tokens: int
    """Prompt tokens that requests on the same subject share."""
    own_tokens: int
    """Prompt tokens of this request only."""
    subjects: int
    """Number of different subjects."""
    output_tokens: int
    urgency: int | None = None


@dataclass(frozen=True, slots=True)
class SpeedChange:
    """A change of the duration factor of an engine."""

    at: float
    engine: int
    factor: float


@dataclass(frozen=True, slots=True)
class Deployment:
    """The engines and the traffic of a simulation."""

    data_centres: int
    engines: int
    slots: int
    memory_tokens: int
    prefill_ms: tuple[float, float]
    """Milliseconds to prefill a prompt token, for the small and the large model."""
    decode_ms: tuple[float, float]
    """Milliseconds to decode a token, by model, on an idle engine."""
    kinds: tuple[StreamKind, ...]
    escalation_share: float = 0.5
    """Share of the small model's requests that escalate to the large model."""
    factors: tuple[float, ...] = ()
    """Duration factors of the first engines; those of the others are 1."""
    changes: tuple[SpeedChange, ...] = ()
    speed_delay: float = 0.0
    """Seconds after which gateways know a changed factor."""
    totals_seconds: float = TOTALS_INTERVAL_SECONDS
    """Seconds between two totals, and the delay of each."""


@dataclass(slots=True)
class Engine:
    """One engine with its prefill queue and its prefix cache."""

    announcement: Announcement
    prefill_done_at: float = 0.0
    """Time at which the prefill of all queued prompts will be finished."""
    running: int = 0
    sends: int = 0
    prefilled_tokens: int = 0
    cached: OrderedDict[tuple[str, str], int] = field(default_factory=OrderedDict)
    cached_tokens: int = 0
    factor: float = 1.0


@dataclass(slots=True)
class Gateway:
    """The tables of one gateway."""

    data_centre: str
    load: LoadTable = field(default_factory=LoadTable)
    prefixes: PrefixTable = field(default_factory=PrefixTable)
    health: HealthTable = field(default_factory=HealthTable)
    reported: tuple[UpstreamUse, ...] = ()
    speeds: EngineSpeedTable = field(default_factory=EngineSpeedTable)
    """Duration factors as this gateway knows them."""


@dataclass(frozen=True, slots=True)
class PlacedStream:
    """One placed stream."""

    at: float
    wait: float
    """Seconds until the first event."""
    shared: int
    """Prompt tokens that other requests share."""
    found: int
    """Shared prompt tokens that the engine had cached."""
    far: bool
    """Whether the engine is in another data centre than the gateway."""
    engine: str
    urgency: int | None
    output_tokens: int


@dataclass(frozen=True, slots=True)
class EngineSample:
    """The requests that an engine runs at one time."""

    at: float
    engine: str
    running: int


@dataclass(frozen=True, slots=True)
class RunningStream:
    """A stream from its first event to its last."""

    gateway: Gateway
    engine: Engine
    model: str
    ends_at: float


PlacementPolicy = Callable[
    [Demand, list[Announcement], PlacementContext, float, Callable[[], float]],
    Placement | None,
]


def ignore_stream(stream: RunningStream, at: float) -> None:
    """Do nothing with a stream."""


@dataclass(slots=True)
class PlacementRun:
    """The state of one run, with a heap of events by the time at which they are due."""

    deployment: Deployment
    policy: PlacementPolicy
    random: random.Random
    engines: dict[str, Engine] = field(default_factory=dict)
    gateways: list[Gateway] = field(default_factory=list)
    events: list[tuple[float, int, Callable[[float], None]]] = field(
        default_factory=list
    )
    counter: int = 0
    placed: list[PlacedStream] = field(default_factory=list)
    event_ms: list[tuple[float, float]] = field(default_factory=list)
    """Times of first events, and the milliseconds that each further one takes."""
    samples: list[EngineSample] = field(default_factory=list)
    """Running requests, taken with each report of the gateways."""
    speeds: EngineSpeedTable = field(default_factory=EngineSpeedTable)
    """Duration factors that all gateways share unless they are given their own."""
    watch_stream: Callable[[RunningStream, float], None] = ignore_stream
    """Called with each stream at its first event."""


def simulate_placement(
    deployment: Deployment,
    policy: PlacementPolicy,
    *,
    gateways: int,
    seconds: float,
    seed: int,
) -> PlacementRun:
    """Simulate traffic; ``ValueError`` unless gateways and seconds are above 0."""
    if gateways < 1 or seconds <= 0:
        raise ValueError("gateways and seconds must be above 0")

    run = make_run(deployment, policy, gateways=gateways, seed=seed)
    run_events(run, seconds)
    return run


def make_run(
    deployment: Deployment, policy: PlacementPolicy, *, gateways: int, seed: int
) -> PlacementRun:
    """Return a run with its engines, gateways and first events."""
    run = PlacementRun(deployment, policy, random.Random(seed))
    for number in range(deployment.engines):
        engine = make_engine(deployment, number)
        run.engines[engine.announcement.upstream] = engine

    for number in range(gateways):
        name = f"dc{number % deployment.data_centres}"
        run.gateways.append(Gateway(name, speeds=run.speeds))

    for kind in deployment.kinds:
        schedule_arrival(run, kind, 0.0)

    for number, factor in enumerate(deployment.factors):
        change_speed(run, SpeedChange(0.0, number, factor))

    for change in deployment.changes:
        schedule_change(run, change)

    schedule(run, deployment.totals_seconds, lambda now: exchange_totals(run, now))
    return run


def schedule_change(run: PlacementRun, change: SpeedChange) -> None:
    """Schedule a change of speed, and the time at which gateways know it."""
    engine = run.engines[f"engine-{change.engine}"]

    def slow_down(_: float) -> None:
        engine.factor = change.factor

    schedule(run, change.at, slow_down)
    known_at = change.at + run.deployment.speed_delay
    schedule(run, known_at, lambda _: change_speed(run, change))


def change_speed(run: PlacementRun, change: SpeedChange) -> None:
    """Set the speed of an engine, and let the gateways know it."""
    engine = run.engines[f"engine-{change.engine}"]
    engine.factor = change.factor
    announcement = engine.announcement
    key = (announcement.upstream, announcement.incarnation)
    run.speeds.factors[key] = change.factor


def make_engine(deployment: Deployment, number: int) -> Engine:
    """Return an engine; engines are distributed over the data centres in rotation."""
    return Engine(
        Announcement(
            upstream=f"engine-{number}",
            service="chat",
            host="127.0.0.1",
            port=9_000 + number,
            data_centre=f"dc{number % deployment.data_centres}",
            version="v1",
            slots=deployment.slots,
            state=UpstreamState.SERVING,
            incarnation=1,
            sequence=1,
        )
    )


def schedule(run: PlacementRun, at: float, callback: Callable[[float], None]) -> None:
    """Schedule an event at a time."""
    run.counter += 1
    heapq.heappush(run.events, (at, run.counter, callback))


def run_events(run: PlacementRun, until: float) -> None:
    """Run all events that are due before a time."""
    while run.events and run.events[0][0] < until:
        at, _, callback = heapq.heappop(run.events)
        callback(at)


def schedule_arrival(run: PlacementRun, kind: StreamKind, now: float) -> None:
    """Schedule the next request of a kind."""

    def arrive(at: float) -> None:
        gateway = run.random.choice(run.gateways)
        blocks = draw_blocks(run, kind)
        send(run, gateway, kind, blocks, MODELS[0], at)
        schedule_arrival(run, kind, at)

    schedule(run, now + run.random.expovariate(kind.rate), arrive)


def draw_blocks(run: PlacementRun, kind: StreamKind) -> tuple[PromptBlock, ...]:
    """Return the prompt blocks of a new request."""
    subject = run.random.randrange(kind.subjects)
    return (
        (f"{kind.rate}", kind.common_tokens),
        (f"{kind.rate}/{subject}", kind.subject_tokens),
        (f"own-{run.counter}", kind.own_tokens),
    )


def send(
    run: PlacementRun,
    gateway: Gateway,
    kind: StreamKind,
    blocks: tuple[PromptBlock, ...],
    model: str,
    now: float,
) -> None:
    """Place a request, and schedule its first event and its end."""
    deployment = run.deployment
    model_index = MODELS.index(model)
    candidates = [one.announcement for one in run.engines.values()]
    factors = list_factors(gateway.speeds, candidates, now)
    kind_of_pool = Pool.LARGE if model_index else Pool.SMALL
    pool = list_pool(list(run.engines), kind_of_pool, factors)
    demand = Demand(
        service=Service(
            name="chat",
            slots=deployment.slots,
            memory_tokens=deployment.memory_tokens,
        ),
        model=model,
        prompt_tokens=sum(tokens for _, tokens in blocks),
        prompt_blocks=blocks,
        token_ms=deployment.prefill_ms[model_index],
        pool=pool,
        output_tokens=kind.output_tokens,
        output_token_ms=deployment.decode_ms[model_index],
        urgency=kind.urgency,
    )
    context = PlacementContext(
        data_centre=gateway.data_centre,
        load=gateway.load,
        health=gateway.health,
        prefixes=gateway.prefixes,
        engine_speeds=gateway.speeds,
    )
    placement = run.policy(demand, candidates, context, now, run.random.random)
    if placement is None:
        return

    engine = run.engines[placement.upstream.upstream]
    found = prefill_prompt(engine, deployment, model, blocks)
    uncached = demand.prompt_tokens - found
    tokens = demand.prompt_tokens + demand.output_tokens
    add_running(gateway.load, engine.announcement.upstream, placement.work, tokens)
    prefill_ms = uncached * demand.token_ms * engine.factor
    engine.prefill_done_at = max(engine.prefill_done_at, now) + prefill_ms / 1000
    first_at = engine.prefill_done_at + FIRST_EVENT_SECONDS
    record_placement(run, gateway, engine, kind, blocks, first_at - now, found, now)
    escalates = model_index == 0 and run.random.random() < deployment.escalation_share

    def on_first_event(at: float) -> None:
        remove_backlog(gateway.load, engine.announcement.upstream, placement.work)
        record_blocks(gateway.prefixes, engine.announcement.upstream, model, blocks, at)
        if escalates:
            on_end(at)
            send(run, gateway, kind, blocks, MODELS[1], at)
            return

        token_interval_ms = find_token_interval(deployment, engine, model)
        run.event_ms.append((at, token_interval_ms))
        ends_at = at + kind.output_tokens * token_interval_ms / 1000
        schedule(run, ends_at, on_end)
        run.watch_stream(RunningStream(gateway, engine, model, ends_at), at)

    def on_end(at: float) -> None:
        engine.running -= 1
        remove_running(gateway.load, engine.announcement.upstream, tokens)

    schedule(run, first_at, on_first_event)


def find_token_interval(deployment: Deployment, engine: Engine, model: str) -> float:
    """Return the milliseconds between two tokens of a stream."""
    return (
        deployment.decode_ms[MODELS.index(model)]
        * engine.factor
        * (1 + engine.running / deployment.slots)
    )


def record_placement(
    run: PlacementRun,
    gateway: Gateway,
    engine: Engine,
    kind: StreamKind,
    blocks: tuple[PromptBlock, ...],
    wait: float,
    found: int,
    now: float,
) -> None:
    """Record a placed stream."""
    engine.running += 1
    engine.sends += 1
    run.placed.append(
        PlacedStream(
            at=now,
            wait=wait,
            shared=sum(tokens for _, tokens in blocks[:-1]),
            found=found,
            far=engine.announcement.data_centre != gateway.data_centre,
            engine=engine.announcement.upstream,
            urgency=kind.urgency,
            output_tokens=kind.output_tokens,
        )
    )


def prefill_prompt(
    engine: Engine, deployment: Deployment, model: str, blocks: tuple[PromptBlock, ...]
) -> int:
    """Prefill a prompt, update the cache, and return the tokens found in it."""
    found = 0
    missed = False
    for block, tokens in blocks:
        key = (model, block)
        missed = missed or key not in engine.cached
        if not missed:
            found += tokens
            engine.cached.move_to_end(key)
            continue

        engine.prefilled_tokens += tokens
        if key not in engine.cached:
            engine.cached[key] = tokens
            engine.cached_tokens += tokens

    while engine.cached_tokens > deployment.memory_tokens:
        _, tokens = engine.cached.popitem(last=False)
        engine.cached_tokens -= tokens

    return found


def exchange_totals(run: PlacementRun, now: float) -> None:
    """Collect the reports of all gateways, and send each the totals after a delay."""
    run.samples += [
        EngineSample(now, name, engine.running) for name, engine in run.engines.items()
    ]
    reported_blocks: list[int] = []
    for gateway in run.gateways:
        gateway.reported = list_own_load(gateway.load)
        unreported = list_unreported_blocks(gateway.prefixes)
        mark_reported(gateway.prefixes, unreported)
        reported_blocks += unreported

    reported = [gateway.reported for gateway in run.gateways]
    total = sum_use(use for one in reported for use in one)

    def deliver(at: float) -> None:
        for gateway, own_use in zip(run.gateways, reported, strict=True):
            count = len(run.gateways)
            apply_totals(gateway.load, total, own_use, work=0.0, gateways=count, now=at)
            apply_reported_blocks(gateway.prefixes, reported_blocks, at)

    next_at = now + run.deployment.totals_seconds
    schedule(run, next_at, deliver)
    schedule(run, next_at, lambda at: exchange_totals(run, at))
