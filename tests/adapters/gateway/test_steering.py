"""What a gateway takes from controls that may lag behind each other."""

from __future__ import annotations

import unittest
import zlib
from types import SimpleNamespace
from typing import Any

import msgspec

from tests.routing.factories import make_document
from tests.routing.factories import make_news
from tests.routing.factories import make_rollout
from waxwingwell.adapters.gateway.choice import list_candidates
from waxwingwell.adapters.gateway.steering import apply_routing
from waxwingwell.adapters.gateway.steering import send_report
from waxwingwell.adapters.gateway.steering import take_cast
from waxwingwell.routing.fleet import take_news
from waxwingwell.routing.messages import FleetReport
from waxwingwell.routing.messages import RolloutState
from waxwingwell.routing.messages import ShareHeartbeats
from waxwingwell.routing.messages import ShareMembers
from waxwingwell.routing.messages import ShareNews
from waxwingwell.routing.messages import ShareRouting
from waxwingwell.routing.messages import UpstreamUse
from waxwingwell.routing.rollouts import FIRST_SHARE
from waxwingwell.routing.rollouts import hash_place
from waxwingwell.routing.rollouts import share_of

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
        context.reported_use = (UpstreamUse(upstream="u1", running=2, backlog=30),)
        total = (
            UpstreamUse(upstream="u1", running=5, backlog=100),
            UpstreamUse(upstream="u2", running=1, backlog=5),
        )
        take_cast(context, "control", FleetReport(gateways=4, use=total, work=9.0))
        found = {
            name: (use.running, use.backlog)
            for name, use in context.load.others.items()
        }
        self.assertEqual(found, {"u1": (3, 70), "u2": (1, 5)})
        self.assertEqual(context.load.gateways, 4)


class HomeTest(unittest.TestCase):
    """Which control a gateway reports to."""

    def test_it_reports_to_a_control_in_its_own_data_centre(self) -> None:
        """Guards against reports and sums that cross data centres without need."""
        for name, places, down, expected in (
            ("one is near", {"a": "south", "b": "north", "c": "south"}, "", {"b"}),
            ("two are near", {"a": "north", "b": "north", "c": "west"}, "", {"a", "b"}),
            ("none is near", {"a": "south", "b": "west"}, "", {"a", "b"}),
            ("the near one is down", {"a": "south", "b": "north"}, "b", {"a"}),
        ):
            with self.subTest(name):
                self.assertIn(find_home(places, down), expected)

    def test_it_returns_to_a_near_control(self) -> None:
        """Guards against gateways that stay far after a near control has restarted."""
        gateway = make_gateway()
        context = gateway.context
        context.controls = {"a": make_link(), "b": make_link()}
        context.attached_control = "a"
        body = ShareMembers(controls=("a", "b"), data_centre="north")
        take_cast(context, "b", body)
        self.assertEqual(context.attached_control, "b")

    def test_its_former_home_counts_it_no_more(self) -> None:
        """Guards against repeats that two controls sum, so that callers are refused."""
        gateway = make_gateway()
        context = gateway.context
        gateway.ask()
        told: list[Any] = []
        former = SimpleNamespace(
            stopped=False, protocol=SimpleNamespace(cast=told.append)
        )
        context.controls = {"a": former, "b": make_link()}
        context.attached_control = "a"
        send_report(context)
        body = ShareMembers(controls=("a", "b"), data_centre="north")
        take_cast(context, "b", body)
        first, last = told
        self.assertEqual([one.requests for one in first.repeats], [1])
        self.assertEqual(last.repeats, ())
        self.assertEqual(last.use, ())
        self.assertEqual(last.held, first.held)
        self.assertEqual(last.evidence, first.evidence)


def make_link() -> Any:
    """Return a link that is up and keeps nothing."""
    return SimpleNamespace(
        stopped=False, protocol=SimpleNamespace(cast=lambda body: True)
    )


def find_home(places: dict[str, str], down: str) -> str:
    """Return where a gateway in the north reports, knowing where controls are."""
    gateway = make_gateway()
    context = gateway.context
    context.controls = {name: make_link() for name in places}
    controls = tuple(places)
    for name, data_centre in places.items():
        body = ShareMembers(controls=controls, data_centre=data_centre)
        take_cast(context, name, body)

    if down:
        context.controls[down].protocol = None

    send_report(context)
    return str(context.attached_control)


class MoveTest(unittest.TestCase):
    """What gateways tell each other of the sessions in a move."""

    def test_a_session_under_way_is_told_of_and_kept(self) -> None:
        """Its next request reaches a gateway that has never served it."""
        rollout = make_rollout(share=0.19)
        first, other = make_gateway(), make_gateway("u1", "u2")
        first.ask(X_Id=find_session(rollout))
        sent: list[Any] = []
        first.context.attached_control = "c"
        link = SimpleNamespace(
            stopped=False, protocol=SimpleNamespace(cast=sent.append)
        )
        first.context.controls = {"c": link}
        for gateway in (first, other):
            apply_routing(gateway.context, move(rollout))

        send_report(first.context)
        [report] = sent
        self.assertEqual(report.held, 1)
        total = FleetReport(gateways=2, use=(), held=report.held, kept=report.kept)
        take_news(other.context.fleet, make_news("n1", version="v2"), 0.0)
        take_cast(other.context, "control", total)
        found = {
            session: list_candidates(other.context, "chat", session, 0.1)[0].version
            for session in list_sessions(rollout)
        }
        self.assertEqual(found.pop(find_session(rollout)), "v1")
        self.assertEqual(set(found.values()), {"v2"})


def move(rollout: RolloutState) -> ShareRouting:
    """Return a state of the controls with a move."""
    return ShareRouting(index=1, version=-1, document=b"", rollouts=(rollout,))


def list_sessions(rollout: RolloutState) -> list[str]:
    """Return sessions of a move's first share."""
    return [
        name
        for name in map(str, range(400))
        if share_of(hash_place(rollout, name)) < FIRST_SHARE
    ]


def find_session(rollout: RolloutState) -> str:
    """Return a session of a move's first share."""
    return list_sessions(rollout)[0]
