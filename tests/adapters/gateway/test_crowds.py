"""Most new connections go to one gateway, which has an equal part of what all share."""

from __future__ import annotations

import random
import unittest

from tests.routing.factories import make_document
from tests.routing.factories import make_route
from waxwingwell.routing.lookup import index_document
from waxwingwell.routing.records import Service

from .engines import Engines
from .engines import make_engines
from .hubs import Hub
from .support import LAST_CHUNK
from .support import Caller


RATE = 16.0
"""Requests per second over all gateways."""
CROWDED_SHARE = 0.9
SETTLE_SECONDS = 3.0
"""Time within which gateways learn of each other, and of a crowd."""
MIN_PART = 3 / 4
"""Least share of requests that a crowded gateway serves, relative to before."""


def ask_for(
    engines: Engines, rng: random.Random, seconds: float, share: float
) -> list[tuple[int, Caller]]:
    """Send requests for a while; a share of them goes to the first gateway."""
    asked = []
    until = engines.reactor.seconds() + seconds
    while engines.reactor.seconds() < until:
        place = rng.randrange(len(engines.gateways))
        if rng.random() < share:
            place = 0

        name = f"r{engines.reactor.seconds():.2f}"
        asked.append((place, engines.gateways[place].ask(X_Id=name)))
        engines.run(max(rng.expovariate(RATE), 0.01))

    return asked


def count_served(callers: list[Caller]) -> float:
    """Return the share of callers that have received a whole stream."""
    served = sum(one.received.endswith(LAST_CHUNK) for one in callers)
    return served / len(callers)


class CrowdTest(unittest.TestCase):
    """A gateway that gets nine of ten requests, at upstreams that are limited."""

    def check(self, engines: Engines) -> None:
        """Check that the crowded gateway serves about as all of them did before."""
        rng = random.Random(1)
        engines.run(SETTLE_SECONDS)
        before = [one for _, one in ask_for(engines, rng, 6.0, 0.0)]
        ask_for(engines, rng, SETTLE_SECONDS, CROWDED_SHARE)
        crowded = ask_for(engines, rng, 8.0, CROWDED_SHARE)
        engines.run(11.0)
        served = count_served([one for place, one in crowded if place == 0])
        self.assertGreaterEqual(served, MIN_PART * count_served(before))

    def test_upstreams_that_name_a_limit(self) -> None:
        """Guards against permits that a crowded gateway does not get."""
        for gateways in (9, 24, 78):
            with self.subTest(gateways=gateways):
                engines = make_engines(gateways=gateways)
                engines.statements = ("X-Limit: 2.0",)
                Hub(engines.gateways, engines.reactor, controls=5)
                self.check(engines)

    def test_cold_upstreams(self) -> None:
        """Guards against draws that leave a crowded gateway nothing."""
        engines = make_engines(gateways=9)
        service = Service(
            name="chat", slots=64, warm_up_seconds=60.0, warm_up_rate=20.0
        )
        document = make_document(routes=(make_route(),), services=(service,))
        for gateway in engines.gateways:
            gateway.context.index = index_document(document)
            for held in gateway.context.fleet.upstreams.values():
                held.cold_until = 1_000.0

        Hub(engines.gateways, engines.reactor, controls=5)
        self.check(engines)
