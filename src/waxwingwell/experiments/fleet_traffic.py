"""Synthetic traffic: sessions with growing prompts, orders, tags and reports."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..decisions.tables import Work
from ..records import Priority
from ..records import WorkKind
from ..records import WorkspaceId


if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random


@dataclass(frozen=True, slots=True)
class KindShape:
    """Mean sizes of one kind of work, in tokens."""

    priority: Priority
    share: float
    """Share of all requests, including the later turns of sessions."""
    prompt: int
    output_tokens: int
    turns: int = 1
    """Turns of a session; 1 for work without one."""
    spread: float = 1.0
    """Exponentially distributed share of the output length; the rest is fixed."""


@dataclass(frozen=True, slots=True)
class Profile:
    """A deployment: its data centres, engines, entries and traffic."""

    name: str
    data_centres: tuple[str, ...]
    one_way: float
    """One-way latency between two data centres, in seconds."""
    engines: int
    entries: int
    capacity: int
    """Requests that one engine runs concurrently at full speed."""
    decode_rate: float
    """Tokens a second of one request at light load."""
    prefill_rate: float
    cache_tokens: int
    """Size of one engine's prefix cache."""
    shapes: tuple[KindShape, ...]
    workspaces: int = 10
    think_time: float = 12.0
    """Mean seconds between two turns of a session."""


@dataclass(frozen=True, slots=True)
class Request:
    """One request; for a seed, every policy gets the same requests."""

    at: float
    work: Work
    entry: int
    output_tokens: int
    """Tokens of the response; the policies know only the mean of its kind of work."""


ENTOTO = Profile(
    name="entoto",
    data_centres=("bole", "kazanchis", "cmc"),
    one_way=0.004,
    engines=6,
    entries=8,
    capacity=16,
    decode_rate=50.0,
    prefill_rate=16_000.0,
    cache_tokens=150_000,
    shapes=(
        KindShape(Priority.ORDER, 0.10, 300, 40, spread=0.3),
        KindShape(Priority.QUESTION, 0.60, 2000, 150, turns=8, spread=0.5),
        KindShape(Priority.TAG, 0.15, 400, 20),
        KindShape(Priority.REPORT, 0.15, 3000, 600, spread=0.3),
    ),
)
FRIO = Profile(
    name="frio",
    data_centres=("balcarce", "tandil", "mdp"),
    one_way=0.003,
    engines=9,
    entries=9,
    capacity=16,
    decode_rate=40.0,
    prefill_rate=12_000.0,
    cache_tokens=150_000,
    shapes=(
        KindShape(Priority.ORDER, 0.08, 250, 40, spread=0.3),
        KindShape(Priority.QUESTION, 0.47, 1500, 120, turns=6, spread=0.5),
        KindShape(Priority.TAG, 0.30, 500, 20),
        KindShape(Priority.REPORT, 0.15, 4000, 700, spread=0.3),
    ),
)
PROFILES = {profile.name: profile for profile in (ENTOTO, FRIO)}
TEMPLATE_TOKENS = 250
"""Tokens of the workspace's instructions at the start of each prompt."""
FULL_BATCH_SPEED_SHARE = 0.78
"""Relative decode speed of an engine with a full batch that prefills most of the
time."""
TURN_TOKENS = 60
"""Tokens that a caller adds in each later turn."""


def compute_capacity(profile: Profile, shapes: Sequence[KindShape]) -> float:
    """Return the requests a second that full batches sustain with only ``shapes``.

    The shares of ``shapes`` need not add up to 1: the result is scaled to the requests
    of all shares.
    """
    rate = profile.decode_rate * FULL_BATCH_SPEED_SHARE
    seconds = sum(shape.share * shape.output_tokens / rate for shape in shapes)
    return profile.engines * profile.capacity / seconds


def make_traffic(
    profile: Profile,
    random: Random,
    *,
    load: float,
    duration: float,
    only_sessions: bool = False,
) -> list[Request]:
    """Return requests at ``load`` times the engines' capacity, in order of time."""
    requests: list[Request] = []
    shapes = [shape for shape in profile.shapes if shape.turns > 1 or not only_sessions]
    per_second = compute_capacity(profile, shapes) * load
    for shape in shapes:
        rate = per_second * shape.share / shape.turns
        lead = shape.turns * profile.think_time
        at = -lead
        while (at := at + random.expovariate(rate)) < duration:
            requests += make_session(profile, shape, random, at, duration)

    requests.sort(key=lambda request: request.at)
    return requests


def make_session(
    profile: Profile, shape: KindShape, random: Random, start: float, duration: float
) -> list[Request]:
    """Return a session's requests within [0, duration)."""
    workspace = WorkspaceId(f"w{int(profile.workspaces * random.random() ** 2)}")
    name = f"{random.getrandbits(48):012x}"
    kind = WorkKind(shape.priority.value, shape.priority, 0.8)
    body = 50 + int(random.expovariate(1.0 / shape.prompt))
    tokens = [TEMPLATE_TOKENS + body]
    digests = [f"{name}.0"]
    requests = []
    at = start
    for turn in range(shape.turns):
        varied = shape.spread * random.expovariate(1.0)
        output_tokens = max(int(shape.output_tokens * (1.0 - shape.spread + varied)), 4)
        if 0.0 <= at < duration:
            work = Work(
                request=f"{name}.{turn}",
                workspace=workspace,
                kind=kind,
                priority=shape.priority,
                session=name if shape.turns > 1 else "",
                stream=True,
                repeatable=shape.priority is not Priority.ORDER,
                prompt_tokens=tokens[-1],
                answer_tokens=shape.output_tokens,
                prefixes=(*reversed(digests), f"template.{workspace}"),
                prefix_tokens=(*reversed(tokens), TEMPLATE_TOKENS),
            )
            requests.append(
                Request(at, work, random.randrange(profile.entries), output_tokens)
            )

        at += output_tokens / profile.decode_rate + random.expovariate(
            1 / profile.think_time
        )
        tokens.append(tokens[-1] + output_tokens + TURN_TOKENS)
        digests.append(f"{name}.{turn + 1}")

    return requests
