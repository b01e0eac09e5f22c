"""One simulated run: traffic, entries and engines, and what callers see of it."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from random import Random

from .engines import Engine
from .engines import Job
from .entries import Entry
from .entries import Policy
from .entries import make_entry
from .events import Clock
from .fleet_traffic import Profile
from .fleet_traffic import Request


@dataclass(slots=True)
class Seen:
    """What a caller saw of one request."""

    request: Request
    first_at: float = 0.0
    ended_at: float = 0.0
    outcome: str = ""
    """``done``, ``refused``, ``abandoned`` or ``failed``; empty while it runs."""
    attempts: int = 0
    """Attempts by the caller."""
    sends: int = 0
    """Dispatches to engines."""


@dataclass(frozen=True, slots=True)
class Storm:
    """Callers that come back after a refusal or failure, whatever they were told."""

    attempts: int = 4
    pause: float = 0.3


@dataclass(slots=True)
class Call:
    """One attempt of a caller as it stands at an entry."""

    seen: Seen
    request: Request
    entry: Entry
    engine: Engine | None = None
    job: Job | None = None
    over: bool = False


@dataclass(slots=True)
class World:
    """One run with one policy."""

    profile: Profile
    policy: Policy
    clock: Clock
    random: Random
    engines: dict[str, Engine]
    entries: list[Entry]
    storm: Storm | None = None
    calls: dict[str, Call] = field(default_factory=dict)
    seen: list[Seen] = field(default_factory=list)
    numbers: int = 0
    """Dispatches so far."""
    remote_sends: int = 0
    """Those that crossed to another data centre."""


def make_world(
    profile: Profile, policy: Policy, seed: int, storm: Storm | None = None
) -> World:
    """Return a world whose engines differ a little in speed, by the seed alone."""
    random = Random(seed)
    clock = Clock()
    engines = []
    for number in range(profile.engines):
        speed = random.uniform(0.85, 1.15)
        engines.append(
            Engine(
                name=f"engine-{number}",
                data_centre=profile.data_centres[number % len(profile.data_centres)],
                capacity=profile.capacity,
                decode_rate=profile.decode_rate * speed,
                prefill_rate=profile.prefill_rate * speed,
                cache_tokens=profile.cache_tokens,
                clock=clock,
            )
        )

    entries = [make_entry(profile, index, engines) for index in range(profile.entries)]
    return World(
        profile,
        policy,
        clock,
        random,
        {engine.name: engine for engine in engines},
        entries,
        storm,
    )
