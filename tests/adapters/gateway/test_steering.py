"""Tests of messages from controls, which may lag behind each other, and of reports."""

from __future__ import annotations

import unittest
import zlib
from types import SimpleNamespace
from typing import Any
from typing import cast

import msgspec

from tests.routing.factories import make_announcement
from tests.routing.factories import make_document
from tests.routing.factories import make_rollout
from waxwingwell.adapters.gateway.choice import list_candidates
from waxwingwell.adapters.gateway.reporting import send_report
from waxwingwell.adapters.gateway.steering import apply_routing
from waxwingwell.adapters.gateway.steering import handle_cast
from waxwingwell.routing.fleet import apply_announcement
from waxwingwell.routing.lookup import index_document
from waxwingwell.routing.messages import FleetReport
from waxwingwell.routing.messages import FormerCounts
from waxwingwell.routing.messages import RolloutState
from waxwingwell.routing.messages import ShareHeartbeats
from waxwingwell.routing.messages import ShareMembers
from waxwingwell.routing.messages import ShareNews
from waxwingwell.routing.messages import ShareRouting
from waxwingwell.routing.messages import UpstreamUse
from waxwingwell.routing.records import Service
from waxwingwell.routing.rollouts import FIRST_SHARE
from waxwingwell.routing.rollouts import hash_session
from waxwingwell.routing.rollouts import position_to_share

from .support import make_gateway


def share_document(index: int, version: int) -> ShareRouting:
    """Return the routing state at an index of the controls' log."""
    encoded = msgspec.msgpack.encode(make_document(version=version))
    return ShareRouting(
        index=index, version=version, document=zlib.compress(encoded), rollouts=()
    )


class RoutingTest(unittest.TestCase):
    """The document in force is never replaced by an older one."""

    def test_an_older_document_is_not_applied(self) -> None:
        """An isolated control shares an old state after another one shared a newer one.

        Applying it would make keys and routes valid again that have been removed.
        """
        for name, shares, expected in (
            ("newer", [share_document(5, 2), share_document(6, 3)], 3),
            ("older", [share_document(6, 3), share_document(5, 2)], 3),
            ("the same index", [share_document(6, 3), share_document(6, 4)], 3),
        ):
            with self.subTest(name):
                gateway = make_gateway()
                for body in shares:
                    handle_cast(gateway.context, "control", body)

                self.assertEqual(gateway.context.index.document.version, expected)


class FleetTest(unittest.TestCase):
    """Selection of the upstreams that count as alive."""

    def send_heartbeats(self, gateway: Any, at: float, *heard: str) -> None:
        """Share heartbeats from a control."""
        gateway.reactor.advance(at - gateway.reactor.seconds())
        counts = tuple((name, 1, int(at) + 1) for name in heard)
        handle_cast(gateway.context, "control", ShareHeartbeats(heard=counts))

    def list_names(self, gateway: Any) -> set[str]:
        """Return the names of the upstreams that requests may use."""
        now = gateway.reactor.seconds()
        found = list_candidates(gateway.context, "chat", "s", now)
        return {one.upstream for one in found}

    def test_unresponsive_upstreams_are_dropped(self) -> None:
        gateway = make_gateway("u1", "u2")
        for second in range(1, 9):
            self.send_heartbeats(gateway, second, "u1")

        self.assertEqual(self.list_names(gateway), {"u1"})

    def test_missing_heartbeats_do_not_count_without_a_control(self) -> None:
        gateway = make_gateway("u1", "u2")
        self.send_heartbeats(gateway, 1.0, "u1", "u2")
        gateway.reactor.advance(60.0)
        self.assertEqual(self.list_names(gateway), {"u1", "u2"})

    def test_all_upstreams_are_used_if_a_control_reports_none(self) -> None:
        """A control that lost its state shares heartbeats without any upstream.

        Refusing every request for that would be worse than a failed connection.
        """
        gateway = make_gateway("u1", "u2")
        for second in range(1, 12):
            self.send_heartbeats(gateway, second)

        self.assertEqual(self.list_names(gateway), {"u1", "u2"})

    def test_an_announced_departure_applies_at_once(self) -> None:
        gateway = make_gateway("u1", "u2")
        leaving = make_announcement("u1", state="leaving", sequence=9)
        handle_cast(gateway.context, "control", ShareNews(news=(leaving,)))
        self.assertEqual(self.list_names(gateway), {"u2"})


class EvacuationTest(unittest.TestCase):
    """Evacuated data centres."""

    def share(self, gateway: Any, index: int, *evacuated: str) -> None:
        """Share the routing state with the evacuated data centres."""
        body = ShareRouting(
            index=index, version=1, document=b"", rollouts=(), evacuated=evacuated
        )
        handle_cast(gateway.context, "control", body)

    def test_states(self) -> None:
        """An older state, from a control that lags, doesn't undo a newer one."""
        for name, shares, expected in (
            ("evacuated", [(5, "north")], {"far"}),
            ("withdrawn", [(5, "north"), (6,)], {"u1", "u2", "far"}),
            ("older withdrawal", [(6, "north"), (5,)], {"far"}),
            ("older evacuation", [(6,), (5, "north")], {"u1", "u2", "far"}),
        ):
            with self.subTest(name):
                gateway = make_gateway("u1", "u2")
                far = make_announcement("far", data_centre="south")
                apply_announcement(gateway.context.fleet, far, 0.0)
                for index, *evacuated in cast("Any", shares):
                    self.share(gateway, index, *evacuated)

                found = list_candidates(gateway.context, "chat", "s", 0.0)
                self.assertEqual({one.upstream for one in found}, expected)

    def test_a_request_without_upstreams_is_refused_at_once(self) -> None:
        """Guards against requests that wait for their deadline in vain."""
        gateway = make_gateway("u1", "u2")
        self.share(gateway, 5, "north")
        caller = gateway.ask()
        self.assertEqual(caller.status, 503)
        self.assertIn(b"Retry-After", caller.received)
        self.assertEqual(gateway.upstreams, [])

    def test_a_retry_leaves_the_evacuated_data_centre(self) -> None:
        gateway = make_gateway("u1", "u2")
        far = make_announcement("far", data_centre="south")
        apply_announcement(gateway.context.fleet, far, 0.0)
        gateway.ask()
        self.share(gateway, 5, "north")
        gateway.upstreams[0].refuse()
        self.assertEqual(gateway.upstreams[1].port, far.port)

    def test_returned_upstreams_are_cold(self) -> None:
        """Guards against a burst to upstreams that have become cold meanwhile."""
        gateway = make_gateway("u1", "u2")
        service = Service(name="chat", warm_up_seconds=3.0, warm_up_rate=7.8)
        document = make_document(services=(service,))
        gateway.context.index = index_document(document)
        self.share(gateway, 5, "north")
        self.share(gateway, 6)
        self.assertEqual(gateway.ask().status, 503)
        gateway.reactor.advance(3.1)
        gateway.ask()
        self.assertEqual(len(gateway.upstreams), 1)


class LoadTest(unittest.TestCase):
    """Load of the other gateways."""

    def test_own_load_is_not_counted_twice(self) -> None:
        gateway = make_gateway()
        context = gateway.context
        context.reported_use = (UpstreamUse(upstream="u1", running=2, backlog=30),)
        total = (
            UpstreamUse(upstream="u1", running=5, backlog=100),
            UpstreamUse(upstream="u2", running=1, backlog=5),
        )
        handle_cast(context, "control", FleetReport(gateways=4, use=total, work=9.0))
        found = {
            name: (use.running, use.backlog)
            for name, use in context.load.others.items()
        }
        self.assertEqual(found, {"u1": (3, 70), "u2": (1, 5)})
        self.assertEqual(context.load.gateways, 4)


class AttachmentTest(unittest.TestCase):
    """Selection of the control that a gateway is attached to."""

    def test_a_gateway_attaches_to_a_control_in_its_data_centre(self) -> None:
        """Guards against reports and totals that cross data centres needlessly."""
        for name, data_centres, down, expected in (
            ("one is local", {"a": "south", "b": "north", "c": "south"}, "", {"b"}),
            (
                "two are local",
                {"a": "north", "b": "north", "c": "west"},
                "",
                {"a", "b"},
            ),
            ("none is local", {"a": "south", "b": "west"}, "", {"a", "b"}),
            ("the local one is down", {"a": "south", "b": "north"}, "b", {"a"}),
        ):
            with self.subTest(name):
                self.assertIn(find_attached_control(data_centres, down), expected)

    def test_a_gateway_reattaches_to_a_local_control(self) -> None:
        """Guards against staying with a remote control once a local one is back."""
        gateway = make_gateway()
        context = gateway.context
        context.controls = {"a": make_link(), "b": make_link()}
        context.attached_control = "a"
        body = ShareMembers(controls=("a", "b"), data_centre="north")
        handle_cast(context, "b", body)
        self.assertEqual(context.attached_control, "b")

    def test_the_former_control_stops_counting_the_gateway(self) -> None:
        """Guards against retries that two controls count, which refuses callers."""
        gateway = make_gateway()
        context = gateway.context
        gateway.ask()
        reports: list[Any] = []
        former = SimpleNamespace(
            stopped=False, protocol=SimpleNamespace(cast=reports.append)
        )
        context.controls = {"a": former, "b": make_link()}
        context.attached_control = "a"
        send_report(context)
        body = ShareMembers(controls=("a", "b"), data_centre="north")
        handle_cast(context, "b", body)
        first, last = reports
        self.assertEqual([one.requests for one in first.repeats], [1])
        self.assertEqual(last.repeats, ())
        self.assertEqual(last.use, ())
        self.assertEqual(last.held, first.held)
        self.assertEqual(last.evidence, first.evidence)

    def test_what_a_lost_control_had_been_told(self) -> None:
        """Guards against retries that count once more after their control has ended."""
        for name, is_lost, seconds, is_told in (
            ("the connection was lost", True, 0.0, True),
            ("after the window", True, 10.5, False),
            ("the gateway has left it", False, 0.0, False),
        ):
            with self.subTest(name):
                gateway = make_gateway()
                context = gateway.context
                gateway.ask()
                reports: list[Any] = []
                before, after = make_connection(reports), make_connection(reports)
                link = SimpleNamespace(stopped=False, protocol=before)
                context.controls = {"a": link}
                context.attached_control = "a"
                send_report(context)
                before.closed.called = is_lost
                link.protocol = after
                send_report(context)
                gateway.reactor.advance(seconds)
                send_report(context)
                told = FormerCounts("a", reports[0].repeats)
                self.assertIs(reports[0].former, msgspec.UNSET)
                expected = told if is_told else msgspec.UNSET
                self.assertEqual(reports[-1].former, expected)


def make_connection(sent: list[Any]) -> Any:
    """Return a connection that records its messages."""

    def cast(body: Any) -> bool:
        sent.append(body)
        return True

    return SimpleNamespace(cast=cast, closed=SimpleNamespace(called=False))


def make_link() -> Any:
    """Return a link that is up and discards all messages."""
    return SimpleNamespace(
        stopped=False, protocol=SimpleNamespace(cast=lambda body: True)
    )


def find_attached_control(data_centres: dict[str, str], down: str) -> str:
    """Return the control that a gateway in the north attaches to.

    ``data_centres`` holds the data centre of each control; ``down`` is a control
    without a link.
    """
    gateway = make_gateway()
    context = gateway.context
    context.controls = {name: make_link() for name in data_centres}
    controls = tuple(data_centres)
    for name, data_centre in data_centres.items():
        body = ShareMembers(controls=controls, data_centre=data_centre)
        handle_cast(context, name, body)

    if down:
        context.controls[down].protocol = None

    send_report(context)
    return str(context.attached_control)


class RolloutSessionTest(unittest.TestCase):
    """Exchange between gateways of the sessions affected by a roll-out."""

    def test_an_active_session_is_reported_and_kept(self) -> None:
        """Its next request reaches a gateway that has never served the session."""
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
            apply_routing(gateway.context, share_rollout(rollout))

        send_report(first.context)
        [report] = sent
        self.assertEqual(report.held, 1)
        total = FleetReport(gateways=2, use=(), held=report.held, kept=report.kept)
        apply_announcement(
            other.context.fleet, make_announcement("n1", version="v2"), 0.0
        )
        handle_cast(other.context, "control", total)
        found = {
            session: list_candidates(other.context, "chat", session, 0.1)[0].version
            for session in list_sessions(rollout)
        }
        self.assertEqual(found.pop(find_session(rollout)), "v1")
        self.assertEqual(set(found.values()), {"v2"})


def share_rollout(rollout: RolloutState) -> ShareRouting:
    """Return a routing state with a roll-out."""
    return ShareRouting(index=1, version=-1, document=b"", rollouts=(rollout,))


def list_sessions(rollout: RolloutState) -> list[str]:
    """Return sessions in the first share of a roll-out."""
    return [
        name
        for name in map(str, range(400))
        if position_to_share(hash_session(rollout, name)) < FIRST_SHARE
    ]


def find_session(rollout: RolloutState) -> str:
    """Return one session in the first share of a roll-out."""
    return list_sessions(rollout)[0]
