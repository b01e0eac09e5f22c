"""Tests of the value of model escalation at low load, at capacity and above it.

Simulated engines of the larger model process prompts one after another. A request has
its full value if its response is good and starts in time; the price of the larger model
is subtracted.
"""

from __future__ import annotations

import heapq
import random
import unittest
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

from waxwingwell.routing.health import HealthTable
from waxwingwell.routing.load import LoadTable
from waxwingwell.routing.load import add_running
from waxwingwell.routing.load import estimate_usage
from waxwingwell.routing.load import record_prefill
from waxwingwell.routing.load import remove_backlog
from waxwingwell.routing.load import remove_running
from waxwingwell.routing.models import EscalationInputs
from waxwingwell.routing.models import estimate_poor_probability
from waxwingwell.routing.models import should_escalate
from waxwingwell.routing.models import update_request_weight
from waxwingwell.routing.placement import Demand
from waxwingwell.routing.placement import Placement
from waxwingwell.routing.placement import PlacementContext
from waxwingwell.routing.placement import place_request
from waxwingwell.routing.prefixes import PrefixTable
from waxwingwell.routing.records import Service

from .factories import make_announcement


ENGINES = 6
TOKEN_MS = 0.05
SMALL_SECONDS = 0.1
"""Time until the first event of the smallest model."""
STREAM_SECONDS = 3.0
COST = 0.25
LATE_VALUE = 0.3
POOR_VALUE = 0.05
SECONDS = 60.0
CHAT = Service(name="chat", slots=32, memory_tokens=500_000)
NAMES = [f"e{number}" for number in range(ENGINES)]
UPSTREAMS = [make_announcement(name, slots=32) for name in NAMES]


@dataclass(frozen=True)
class Kind:
    """Requests of one route."""

    name: str
    share: float
    prompt: int
    output: int
    objective: float
    value: float


KINDS = (
    Kind("plan", 0.25, 6_600, 1_100, 1.5, 3.9),
    Kind("answer", 0.25, 600, 950, 1.0, 2.5),
    Kind("tag", 0.5, 1_800, 84, 1.0, 0.33),
)
Policy = Callable[[float, EscalationInputs], bool]


@dataclass
class Engines:
    """Engines that process one prompt at a time, and a gateway's view of them."""

    load: LoadTable = field(default_factory=LoadTable)
    free_at: dict[str, float] = field(default_factory=dict)
    ends: list[tuple[float, int, str, str, float]] = field(default_factory=list)
    sent: int = 0
    draw: random.Random = field(default_factory=lambda: random.Random(7))

    def __post_init__(self) -> None:
        self.context = PlacementContext(
            "north", self.load, HealthTable(), PrefixTable()
        )

    def process_until(self, now: float) -> None:
        """Process prefills and requests that have ended."""
        while self.ends and self.ends[0][0] <= now:
            _, _, what, name, work = heapq.heappop(self.ends)
            if what == "read":
                remove_backlog(self.load, name, work)
            else:
                remove_running(self.load, name)

    def send(self, name: str, work: float, now: float) -> float:
        """Send a prompt to an engine; return the time of its first event."""
        add_running(self.load, name, work)
        record_prefill(self.load, work, now)
        read_at = max(self.free_at.get(name, 0.0), now) + work / 1000
        self.free_at[name] = read_at
        self.sent += 1
        heapq.heappush(self.ends, (read_at, self.sent, "read", name, work))
        end = (read_at + STREAM_SECONDS, self.sent, "end", name, work)
        heapq.heappush(self.ends, end)
        return read_at


def find_rate(load: float) -> float:
    """Return the requests per second whose prefill is ``load`` times the capacity."""
    work = sum(kind.share * kind.prompt * TOKEN_MS / 1000 for kind in KINDS)
    return load * ENGINES / work


def run_policy(policy: Policy, load: float, seed: int = 3) -> float:
    """Return the value for callers, as a share of that of good responses in time."""
    draw = random.Random(seed)
    engines = Engines()
    typical_sizes: dict[str, float] = {}
    now = value_earned = value_offered = 0.0
    while now < SECONDS:
        now += draw.expovariate(find_rate(load))
        kind = draw.choices(KINDS, [one.share for one in KINDS])[0]
        prompt = int(kind.prompt * draw.lognormvariate(-0.5, 1.0))
        weight = update_request_weight(typical_sizes, kind.name, prompt, kind.output)
        value = kind.value * weight
        value_offered += value
        answered_at = now + SMALL_SECONDS
        engines.process_until(answered_at)
        confidence = draw.random()
        placement = place(engines, prompt, answered_at)
        remaining = kind.objective - SMALL_SECONDS
        inputs = EscalationInputs(
            output_tokens=kind.output,
            prompt_tokens=prompt,
            uncached=prompt,
            weight=weight,
            cost=COST,
            pressure=placement.wait / 1000 / remaining,
            usage=estimate_usage(engines.load, ENGINES, answered_at),
        )
        if not policy(confidence, inputs):
            poor_probability = estimate_poor_probability(confidence)
            value_earned += value * (
                1.0 - poor_probability + poor_probability * POOR_VALUE
            )
            continue

        first_at = engines.send(
            placement.upstream.upstream, prompt * TOKEN_MS, answered_at
        )
        on_time = first_at <= now + kind.objective
        value_earned += value * (1.0 if on_time else LATE_VALUE)
        value_earned -= COST * (0.3 * kind.output + prompt / 4) / 1000

    return value_earned / value_offered


def place(engines: Engines, prompt: int, now: float) -> Placement:
    """Return the placement of a request on the larger model."""
    demand = Demand(CHAT, "large", prompt, token_ms=TOKEN_MS)
    draw = engines.draw.random
    found = place_request(demand, UPSTREAMS, engines.context, now, draw)
    assert found is not None
    return found


def ask_never(confidence: float, inputs: EscalationInputs) -> bool:
    """Never escalate."""
    return False


def ask_always(confidence: float, inputs: EscalationInputs) -> bool:
    """Escalate every request."""
    return True


def ask_below_threshold(confidence: float, inputs: EscalationInputs) -> bool:
    """Escalate at low confidence, regardless of the cost."""
    return confidence < 0.55


def ask_below_falling_threshold(confidence: float, inputs: EscalationInputs) -> bool:
    """Escalate below a threshold that falls with pressure and usage only."""
    time_factor = min(max(1.25 - inputs.pressure, 0.0), 1.0)
    capacity_factor = min(max((1.2 - inputs.usage) / 0.6, 0.0), 1.0)
    return confidence < 0.55 * time_factor * capacity_factor


FIXED = (ask_never, ask_always, ask_below_threshold, ask_below_falling_threshold)


class ModelLoadTest(unittest.TestCase):
    """Escalation by gain and price, compared with fixed policies."""

    def test_value_is_at_least_that_of_any_fixed_policy(self) -> None:
        """With a fixed policy, responses are late or poor once engines fill up."""
        for load in (0.3, 0.7, 1.0, 1.5, 2.5):
            best = max(run_policy(policy, load) for policy in FIXED)
            with self.subTest(load=load):
                self.assertGreaterEqual(run_policy(should_escalate, load), best)


if __name__ == "__main__":
    unittest.main()
