"""The state of one simulated run: entries, engines and the callers' requests."""

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
class RequestRecord:
    """One request as its caller observed it, over all attempts."""

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
class RetryStorm:
    """Callers that retry unless they succeed, whatever the response says."""

    attempts: int = 4
    pause: float = 0.3
    """Mean seconds before a retry."""


@dataclass(slots=True)
class Call:
    """The state of one attempt of a caller at an entry."""

    record: RequestRecord
    request: Request
    entry: Entry
    engine: Engine | None = None
    job: Job | None = None
    finished: bool = False


@dataclass(slots=True)
class World:
    """The state of one run with one policy."""

    profile: Profile
    policy: Policy
    clock: Clock
    random: Random
    engines: dict[str, Engine]
    entries: list[Entry]
    retry_storm: RetryStorm | None = None
    calls: dict[str, Call] = field(default_factory=dict)
    records: list[RequestRecord] = field(default_factory=list)
    dispatches: int = 0
    """Number of dispatches so far."""
    remote_dispatches: int = 0
    """Number of dispatches to another data centre."""


def make_world(
    profile: Profile, policy: Policy, seed: int, retry_storm: RetryStorm | None = None
) -> World:
    """Return a world whose engines differ slightly in speed, depending on the seed."""
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
        retry_storm,
    )
