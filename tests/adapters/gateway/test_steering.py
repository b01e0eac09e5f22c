"""What a gateway takes from controls that may lag behind each other."""

from __future__ import annotations

import unittest
import zlib
from typing import Any

import msgspec

from tests.routing.factories import make_document
from tests.routing.factories import make_news
from waxwingwell.adapters.gateway.choice import list_candidates
from waxwingwell.adapters.gateway.steering import take_cast
from waxwingwell.routing.messages import FleetReport
from waxwingwell.routing.messages import ShareHeartbeats
from waxwingwell.routing.messages import ShareNews
from waxwingwell.routing.messages import ShareRouting
from waxwingwell.routing.messages import UpstreamUse

from .support import make_gateway


def share(index: int, version: int) -> ShareRouting:
    """Return the state at a place of the log."""
    encoded = msgspec.msgpack.encode(make_document(version=version))
    return ShareRouting(
        index=index, version=version, document=zlib.compress(encoded), rollouts=()
    )


class RoutingTest(unittest.TestCase):
    """The document in force never steps back."""

    def test_documents(self) -> None:
        """One control is cut off and has an old state.

        It tells a gateway of it after another control has told of a newer one. Keys
        and routes that were removed must not work again.
        """
        for name, shares, expected in (
            ("newer", [share(5, 2), share(6, 3)], 3),
            ("older", [share(6, 3), share(5, 2)], 3),
            ("the same place", [share(6, 3), share(6, 4)], 3),
        ):
            with self.subTest(name):
                gateway = make_gateway()
                for body in shares:
                    take_cast(gateway.context, "control", body)

                self.assertEqual(gateway.context.index.document.version, expected)


class FleetTest(unittest.TestCase):
    """Which upstreams are taken to be alive."""

    def tell(self, gateway: Any, at: float, *heard: str) -> None:
        """Let a control tell of heartbeats."""
        gateway.reactor.advance(at - gateway.reactor.seconds())
        counts = tuple((name, 1, int(at) + 1) for name in heard)
        take_cast(gateway.context, "control", ShareHeartbeats(heard=counts))

    def names(self, gateway: Any) -> set[str]:
        """Return the upstreams that requests may use."""
        now = gateway.reactor.seconds()
        found = list_candidates(gateway.context, "chat", "s", now)
        return {one.upstream for one in found}

    def test_silent_upstreams_are_left(self) -> None:
        gateway = make_gateway("u1", "u2")
        for second in range(1, 9):
            self.tell(gateway, second, "u1")

        self.assertEqual(self.names(gateway), {"u1"})

    def test_silence_means_nothing_while_no_control_is_heard(self) -> None:
        gateway = make_gateway("u1", "u2")
        self.tell(gateway, 1.0, "u1", "u2")
        gateway.reactor.advance(60.0)
        self.assertEqual(self.names(gateway), {"u1", "u2"})

    def test_upstreams_are_used_if_a_control_tells_of_none(self) -> None:
        """A control lost its memory.

        It sends rounds of heartbeats without a single upstream in them. Refusing every
        request for that would be worse than a connection that fails.
        """
        gateway = make_gateway("u1", "u2")
        for second in range(1, 12):
            self.tell(gateway, second)

        self.assertEqual(self.names(gateway), {"u1", "u2"})

    def test_news_of_a_leave_counts_at_once(self) -> None:
        gateway = make_gateway("u1", "u2")
        leaving = make_news("u1", state="leaving", sequence=9)
        take_cast(gateway.context, "control", ShareNews(news=(leaving,)))
        self.assertEqual(self.names(gateway), {"u2"})


class LoadTest(unittest.TestCase):
    """What others have running."""

    def test_our_own_share_is_not_counted_twice(self) -> None:
        gateway = make_gateway()
        context = gateway.context
        context.reported = (UpstreamUse(upstream="u1", running=2, backlog=30.0),)
        total = (
            UpstreamUse(upstream="u1", running=5, backlog=100.0),
            UpstreamUse(upstream="u2", running=1, backlog=5.0),
        )
        take_cast(context, "control", FleetReport(gateways=4, use=total, work=9.0))
        found = {
            name: (use.running, use.backlog)
            for name, use in context.load.others.items()
        }
        self.assertEqual(found, {"u1": (3, 70.0), "u2": (1, 5.0)})
        self.assertEqual(context.load.gateways, 4)
