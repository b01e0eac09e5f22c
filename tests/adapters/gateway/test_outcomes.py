"""Tests of what a gateway counts of its requests during a roll-out."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from tests.adapters.registry.support import make_registry
from tests.routing.factories import make_announcement
from tests.routing.factories import make_document
from tests.routing.factories import make_rollout
from tests.routing.factories import make_route
from waxwingwell.adapters.gateway.reporting import make_report
from waxwingwell.adapters.gateway.steering import apply_routing
from waxwingwell.adapters.registry import hub
from waxwingwell.adapters.registry.rollouts import STEP_SECONDS
from waxwingwell.adapters.registry.rollouts import watch_rollouts
from waxwingwell.routing.fleet import apply_announcement
from waxwingwell.routing.lookup import index_document
from waxwingwell.routing.messages import ControlReport
from waxwingwell.routing.messages import GatewayReport
from waxwingwell.routing.messages import RolloutState
from waxwingwell.routing.messages import ShareRouting
from waxwingwell.routing.messages import VersionEvidence
from waxwingwell.routing.outcomes import Outcomes
from waxwingwell.routing.outcomes import find_bucket
from waxwingwell.routing.outcomes import unpack_histogram
from waxwingwell.routing.pace_loads import find_cell
from waxwingwell.routing.records import RouteKind
from waxwingwell.routing.reports import make_control_report
from waxwingwell.routing.tallies import MAX_KINDS
from waxwingwell.routing.version_evidence import split_evidence

from .support import LAST_CHUNK
from .support import Caller
from .support import Gateway
from .support import Upstream
from .support import make_chunk
from .support import make_gateway
from .support import make_response
from .support import make_stream_head


if TYPE_CHECKING:
    from collections.abc import Callable


def share_rollout(gateway: Gateway, index: int = 1, **fields: Any) -> RolloutState:
    """Let the gateway learn of a roll-out."""
    rollout = make_rollout(**fields)
    body = ShareRouting(index=index, version=-1, document=b"", rollouts=(rollout,))
    apply_routing(gateway.context, body)
    return rollout


def list_evidence(gateway: Gateway) -> tuple[VersionEvidence, ...]:
    """Return the evidence in the gateway's report."""
    return make_report(gateway.context).evidence


def succeed(upstream: Upstream) -> None:
    """Respond with a success."""
    upstream.respond(make_response())


def fail(upstream: Upstream) -> None:
    """Respond with a failure of the upstream's own."""
    upstream.respond(make_response(b"broken", 500))


class EndingTest(unittest.TestCase):
    """What each end of a request counts as."""

    def test_endings(self) -> None:
        """Guards against failures that are missed, and versions blamed for others'."""

        def reject(upstream: Upstream) -> None:
            upstream.respond(make_response(b"no", 409))

        def refuse(upstream: Upstream) -> None:
            upstream.respond(make_response(b"", 503, "X-Not-Run: 1"))

        for name, end, expected in (
            ("success", succeed, (1, 1, 0, 0, 1, 1)),
            ("rejection", reject, (1, 1, 0, 0, 1, 1)),
            ("failure", fail, (1, 1, 1, 0, 0, 0)),
            ("broken off", Upstream.reset, (1, 1, 0, 1, 0, 0)),
            ("not run", refuse, (1, 0, 0, 0, 0, 0)),
        ):
            with self.subTest(name):
                gateway = make_gateway("u1", kind=RouteKind.ONCE)
                share_rollout(gateway)
                gateway.ask()
                [upstream] = gateway.upstreams
                upstream.accept()
                end(upstream)
                [part] = list_evidence(gateway)
                counts = (part.sent, part.answers, part.failures, part.breaks)
                times = (len(part.first_bytes), len(part.durations))
                self.assertEqual((*counts, *times), expected)
                self.assertEqual(part.waiting, ())

    def test_a_request_that_reached_no_upstream(self) -> None:
        """Guards against exposure to a version that has got no request."""
        gateway = make_gateway("u1", kind=RouteKind.ONCE)
        share_rollout(gateway)
        gateway.ask()
        gateway.upstreams[0].refuse()
        self.assertEqual(list_evidence(gateway), ())

    def test_breaks_of_upstreams_that_have_ended(self) -> None:
        """Guards against versions blamed for crashes of their upstreams' machines."""
        for name, accepted, crashes in (
            ("it lives", True, 0),
            ("it is gone", False, 2),
        ):
            with self.subTest(name):
                gateway = make_gateway("u1", kind=RouteKind.ONCE)
                share_rollout(gateway)
                gateway.ask()
                gateway.ask()
                requests = gateway.calls
                for upstream in requests:
                    upstream.accept()

                for upstream in requests:
                    upstream.reset()

                self.assertEqual((len(gateway.calls), len(gateway.checks)), (2, 2))
                for check in gateway.checks:
                    if accepted:
                        check.accept()
                    else:
                        check.refuse()

                [part] = list_evidence(gateway)
                self.assertEqual((part.breaks, part.crashes), (2, crashes))

    def test_a_late_gateway_takes_no_break_for_a_crash(self) -> None:
        """Guards against a bad version whose breaks are excused by a full link."""
        for delay, crashes in ((0.0, 1), (0.3, 0)):
            with self.subTest(delay=delay):
                gateway = make_gateway("u1", kind=RouteKind.ONCE)
                share_rollout(gateway)
                gateway.ask()
                [upstream] = gateway.upstreams
                upstream.accept()
                upstream.reset()
                delays = gateway.context.delays
                if delay:
                    delays.history.append((gateway.reactor.seconds(), delay))

                for check in gateway.checks:
                    check.expire()

                [part] = list_evidence(gateway)
                self.assertEqual((part.breaks, part.crashes), (1, crashes))

    def test_times(self) -> None:
        """Guards against a slow response that is known only at its end."""
        gateway = make_gateway("u1")
        share_rollout(gateway)
        gateway.ask()
        [upstream] = gateway.upstreams
        gateway.reactor.advance(0.1)
        upstream.accept()
        for after, send, waiting, first_bytes, durations in (
            (0.2, b"", (0.2,), (), ()),
            (0.3, make_stream_head(), (), (0.5,), ()),
            (1.0, make_chunk(b"id: 1\n\n"), (), (0.5,), ()),
            (0.5, LAST_CHUNK, (), (0.5,), (2.0,)),
        ):
            gateway.reactor.advance(after)
            if send:
                upstream.respond(send)

            [part] = list_evidence(gateway)
            found = (part.waiting, part.first_bytes, part.durations)
            expected = tuple(
                tuple((find_bucket(one), 1) for one in times)
                for times in (waiting, first_bytes, durations)
            )
            self.assertEqual(found, expected)

    def test_paces_of_streams(self) -> None:
        """Guards against a version whose streams start in time and then stall."""
        gateway = make_gateway("u1")
        share_rollout(gateway)
        caller = gateway.ask()
        [upstream] = gateway.upstreams
        upstream.accept()
        upstream.respond(make_stream_head())
        for after, send, pacing, paces in (
            (0.4, b"", (), ()),
            (0.1, make_chunk(b"id: 1\n\nid: 2\n\n"), (), ()),
            (0.4, make_chunk(b"id: 3\n\n"), (0.3,), ()),
            (0.9, b"", (0.6,), ()),
            (0.3, None, (), (0.7,)),
        ):
            gateway.reactor.advance(after)
            if send is None:
                caller.leave()
            elif send:
                upstream.respond(send)

            [part] = list_evidence(gateway)
            expected = tuple(
                tuple((find_bucket(one), 1) for one in times)
                for times in (pacing, paces)
            )
            self.assertEqual((part.pacing, part.paces), expected)
            loaded = tuple(
                tuple((find_cell(1, one), 1) for one in times)
                for times in (pacing, paces)
            )
            self.assertEqual((part.loaded_pacing, part.loaded_paces), loaded)

    def test_responses_that_the_gateway_does_not_wait_for(self) -> None:
        """Guards against versions blamed for callers that leave."""

        def leave(gateway: Gateway, caller: Caller) -> None:
            caller.leave()

        def expire(gateway: Gateway, caller: Caller) -> None:
            gateway.reactor.advance(10.5)

        cases: tuple[tuple[str, Callable[[Gateway, Caller], None]], ...] = (
            ("the caller leaves", leave),
            ("the deadline passes", expire),
        )
        for name, end in cases:
            for started in (False, True):
                with self.subTest(name, started=started):
                    gateway = make_gateway("u1")
                    share_rollout(gateway)
                    caller = gateway.ask()
                    [upstream] = gateway.upstreams
                    upstream.accept()
                    if started:
                        upstream.respond(make_stream_head())

                    gateway.reactor.advance(0.5)
                    end(gateway, caller)
                    [part] = list_evidence(gateway)
                    self.assertEqual((part.sent, part.answers), (1, 0))
                    self.assertEqual(len(part.first_bytes), started)
                    self.assertEqual((part.durations, part.waiting), ((), ()))
                    self.assertEqual(len(part.abandoned), not started)

    def test_the_wait_for_a_silent_upstream(self) -> None:
        """Guards against a version that hangs, and is known by those that wait only."""
        gateway = make_gateway("u1", "u2", kind=RouteKind.IDEMPOTENT)
        share_rollout(gateway)
        gateway.ask()
        gateway.calls[0].accept()
        gateway.reactor.advance(1.5)
        gateway.calls[1].accept()
        [part] = list_evidence(gateway)
        self.assertEqual((part.sent, part.answers, part.breaks), (2, 1, 1))
        self.assertEqual(part.abandoned, ((find_bucket(1.5), 1),))
        self.assertEqual(part.waiting, ((find_bucket(0.0), 1),))

    def test_a_response_dropped_for_a_larger_model(self) -> None:
        """Guards against an escalation that counts as a short or failed response."""
        gateway = make_gateway("u1", "u2", models=("small", "large"))
        share_rollout(gateway)
        gateway.ask(X_Model="*")
        upstream = gateway.upstreams[0]
        upstream.accept()
        upstream.respond(make_stream_head("X-Confidence: 0.1"))
        self.assertEqual(len(gateway.upstreams), 2)
        gateway.upstreams[1].accept()
        small, large = list_evidence(gateway)
        self.assertEqual((small.kind, large.kind), ("r1 small", "r1 large"))
        self.assertEqual((small.sent, small.answers, small.failures), (1, 1, 0))
        self.assertEqual((len(small.first_bytes), small.durations), (1, ()))
        self.assertEqual((large.sent, large.answers), (1, 0))


class ScopeTest(unittest.TestCase):
    """Which requests are counted, and under which key."""

    def test_counts_begin_with_the_roll_out(self) -> None:
        """Guards against versions that are compared over different times.

        The former version's requests before the order say nothing on a fault of the
        service that began after it.
        """
        gateway = make_gateway("u1", kind=RouteKind.ONCE)
        gateway.ask()
        before = gateway.upstreams[0]
        before.accept()
        rollout = share_rollout(gateway)
        fail(before)
        self.assertEqual(list_evidence(gateway), ())
        gateway.ask()
        after = gateway.upstreams[1]
        after.accept()
        [part] = list_evidence(gateway)
        self.assertEqual((part.version, part.kind, part.sent), ("v1", "r1", 1))
        self.assertEqual(part.ordered_at, rollout.ordered_at)
        for name, index, fields, expected in (
            ("grown", 2, {"share": 0.3}, 1),
            ("next one", 3, {"ordered_at": 200.0}, 0),
            ("ended", 4, {"ordered_at": 200.0, "state": "reverted"}, 0),
        ):
            with self.subTest(name):
                share_rollout(gateway, index, **fields)
                self.assertEqual(len(list_evidence(gateway)), expected)

    def test_versions_and_routes_are_counted_apart(self) -> None:
        """Guards against one route's failures that drown in another's successes."""
        gateway = make_gateway("u1", kind=RouteKind.ONCE)
        target = make_announcement("n1", version="v2")
        apply_announcement(gateway.context.fleet, target, 0.0)
        routes = [
            make_route(name=f"r{number}", kind=RouteKind.ONCE)
            for number in range(MAX_KINDS + 3)
        ]
        for share, version in ((0.0, "v1"), (1.0, "v2")):
            share_rollout(gateway, 2 + round(share), share=share)
            for route in routes:
                document = make_document(routes=(route,))
                gateway.context.index = index_document(document)
                gateway.ask()
                upstream = gateway.upstreams[-1]
                upstream.accept()
                upstream.respond(make_response())

            found = {
                part.kind: part.answers
                for part in list_evidence(gateway)
                if part.version == version
            }
            expected = dict.fromkeys([one.name for one in routes[:MAX_KINDS]], 1)
            expected[""] = 3
            self.assertEqual(found, expected)


class ReportTest(unittest.TestCase):
    """The way of the evidence from a gateway to a leader at another control."""

    def test_the_leader_has_what_gateways_counted(self) -> None:
        """Guards against evidence that a message on the way loses or changes."""
        gateway = make_gateway("u1", kind=RouteKind.ONCE)
        rollout = share_rollout(gateway)
        for end in (succeed, fail, Upstream.reset, None):
            gateway.reactor.advance(5.0)
            gateway.ask()
            upstream = gateway.upstreams[-1]
            upstream.accept()
            gateway.reactor.advance(0.3)
            if end is not None:
                end(upstream)

        near, leader = make_registry("127.0.0.2"), make_registry()
        report = decode(GatewayReport, make_report(gateway.context))
        hub.handle_cast(near.context, "g1", report)
        shared = make_control_report(near.context.reports, 0.0, urgent=True)
        hub.handle_cast(leader.context, "127.0.0.2", decode(ControlReport, shared))
        leader.context.state.rollouts["chat"] = rollout
        leader.clock.advance(STEP_SECONDS)
        watch_rollouts(leader.context, leader.clock.seconds())
        [watch] = leader.context.watches.values()
        target, former = split_evidence(watch.evidence, rollout.target, 0.0)
        self.assertEqual(target, {})
        once = unpack_histogram({find_bucket(0.3): 1})
        expected = Outcomes(
            sent=4,
            answers=3,
            failures=1,
            breaks=1,
            first_bytes=once,
            durations=once,
            waiting=once,
            abandoned=once,
        )
        self.assertEqual(former, {"r1": expected})


def decode(kind: Any, message: Any) -> Any:
    """Return a message after it was encoded and decoded."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(message), type=kind)


if __name__ == "__main__":
    unittest.main()
