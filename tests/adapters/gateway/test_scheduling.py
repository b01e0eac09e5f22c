"""Tests of requests that wait at a gateway while their service is short of room."""

from __future__ import annotations

import unittest
import zlib
from typing import Any

import msgspec

from tests.adapters.http.test_server import make_request
from tests.routing.factories import make_announcement
from tests.routing.factories import make_document
from tests.routing.factories import make_route
from waxwingwell.adapters.gateway.arrivals import handle_relayed
from waxwingwell.adapters.gateway.reporting import make_report
from waxwingwell.adapters.gateway.request_queue import estimate_queue_wait
from waxwingwell.adapters.gateway.steering import handle_cast
from waxwingwell.adapters.gateway.stopping import STOP_MARGIN
from waxwingwell.adapters.http.records import HttpLimits
from waxwingwell.adapters.http.server import HttpService
from waxwingwell.routing.fleet import apply_announcement
from waxwingwell.routing.load import MAX_TOTAL_AGE_SECONDS
from waxwingwell.routing.lookup import index_document
from waxwingwell.routing.messages import FleetReport
from waxwingwell.routing.messages import ServiceDemand
from waxwingwell.routing.messages import ShareRouting
from waxwingwell.routing.messages import UpstreamUse
from waxwingwell.routing.records import RouteKind
from waxwingwell.routing.records import Service
from waxwingwell.routing.records import Target
from waxwingwell.routing.records import Workspace
from waxwingwell.routing.reports import ReportTable
from waxwingwell.routing.reports import drop_expired
from waxwingwell.routing.reports import receive_report
from waxwingwell.routing.reports import sum_fleet

from .support import Caller
from .support import Gateway
from .support import capture_log
from .support import make_gateway
from .support import make_response
from .support import make_settings
from .test_stopping import Shutdown


SLOTS = 4
TICK_SECONDS = 0.25


def make_queueing(*names: str, **route: Any) -> Gateway:
    """Return a gateway that queues requests."""
    gateway = make_gateway(*names, **route)
    gateway.context.settings = make_settings(request_queue=True)
    return gateway


def make_short(kind: RouteKind = RouteKind.ONCE, **route: Any) -> Gateway:
    """Return a gateway whose only upstream has all slots taken by its own requests."""
    gateway = make_queueing("u1", kind=kind, **route)
    for number in range(SLOTS):
        gateway.ask(X_Id=f"r{number}")

    return gateway


def share_totals(
    gateway: Gateway, running: int, gateways: int = 2, **fields: Any
) -> None:
    """Send totals to a gateway that has sent no report."""
    use = (UpstreamUse(upstream="u1", running=running, backlog=0),) if running else ()
    report = FleetReport(gateways=gateways, use=use, **fields)
    handle_cast(gateway.context, "c1", report)


def count_waiting(gateway: Gateway) -> int:
    """Return how many requests wait at a gateway."""
    queues = gateway.context.queues.services.values()
    return sum(len(queue.waiting) for queue in queues)


def end_call(gateway: Gateway, index: int = 0) -> None:
    """Let the upstream respond to one of the calls."""
    upstream = gateway.calls[index]
    upstream.accept()
    upstream.respond(make_response(b"fine", 200).replace(b"X-Id: q1\r\n", b""))
    gateway.reactor.advance(0.0)


def share_document(gateway: Gateway, **fields: Any) -> None:
    """Share a newer document from a control."""
    encoded = msgspec.msgpack.encode(make_document(version=2, **fields))
    body = ShareRouting(
        index=2, version=2, document=zlib.compress(encoded), rollouts=()
    )
    handle_cast(gateway.context, "c1", body)


class SettingTest(unittest.TestCase):
    """Whether requests are queued at all."""

    def test_nothing_waits_unless_the_settings_say_so(self) -> None:
        """Guards against a queue at deployments that do not ask for one."""
        for name, gateway, calls in (
            ("off", make_gateway("u1", kind=RouteKind.ONCE), SLOTS + 1),
            ("on", make_queueing("u1", kind=RouteKind.ONCE), SLOTS),
        ):
            with self.subTest(name):
                for number in range(SLOTS + 1):
                    gateway.ask(X_Id=f"r{number}")

                self.assertEqual(len(gateway.calls), calls)
                self.assertEqual(count_waiting(gateway), SLOTS + 1 - calls)


class QueueTest(unittest.TestCase):
    """One gateway and one full upstream."""

    def test_nothing_waits_with_room_to_spare(self) -> None:
        """Guards against waits, and against bytes in reports, without need."""
        gateway = make_queueing("u1")
        before = msgspec.msgpack.encode(make_report(gateway.context))
        for number in range(SLOTS):
            gateway.ask(X_Id=f"r{number}")
            self.assertEqual(len(gateway.calls), number + 1)

        report = make_report(gateway.context)
        self.assertEqual(msgspec.msgpack.encode(report).count(b"demand"), 0)
        self.assertEqual(before.count(b"workspaces"), 0)
        self.assertEqual(gateway.context.queues.timer, None)

    def test_a_request_starts_as_soon_as_another_ends(self) -> None:
        """Guards against slots that stay free while requests wait."""
        for kind in (RouteKind.ONCE, RouteKind.STREAM):
            with self.subTest(kind):
                gateway = make_short(kind)
                gateway.ask(X_Id="q2")
                self.assertEqual((len(gateway.calls), count_waiting(gateway)), (4, 1))
                end_call(gateway)
                self.assertEqual((len(gateway.calls), count_waiting(gateway)), (5, 0))

    def test_a_call_is_sent_once(self) -> None:
        """Guards against a call that its wait sends twice."""
        gateway = make_short()
        caller = gateway.ask(X_Id="q2")
        end_call(gateway)
        for _ in range(8):
            gateway.reactor.advance(TICK_SECONDS)
            share_totals(gateway, 0)

        self.assertEqual(len(gateway.calls), 5)
        end_call(gateway, 4)
        self.assertEqual(caller.status, 200)

    def test_urgent_requests_start_first(self) -> None:
        """Guards against urgent requests that wait behind others."""
        gateway = make_queueing("u1", kind=RouteKind.ONCE)
        workspaces = (
            Workspace(name="late", keys=("k1",), priority=2),
            Workspace(name="urgent", keys=("k2",), priority=0),
        )
        route = make_route(kind=RouteKind.ONCE)
        document = make_document(routes=(route,), workspaces=workspaces)
        gateway.context.index = index_document(document)
        for number in range(SLOTS):
            gateway.ask(X_Id=f"r{number}", X_Key="k2")

        gateway.ask(X_Id="late", X_Key="k1")
        gateway.ask(X_Id="urgent", X_Key="k2")
        end_call(gateway)
        self.assertIn(b"X-Id: urgent", gateway.calls[4].accept())

    def test_a_wait_does_not_lengthen_the_deadline(self) -> None:
        """Guards against responses later than the caller's time."""
        gateway = make_short()
        gateway.ask(X_Id="q2", X_Budget="6")
        gateway.reactor.advance(1.5)
        end_call(gateway)
        [exchange] = [
            one for one in gateway.context.exchanges if one.facts.request_id == "q2"
        ]
        self.assertEqual(exchange.deadline, 6.0)

    def test_no_request_waits_for_more_than_a_third_of_its_time(self) -> None:
        """Guards against callers that have no time left for another gateway."""
        gateway = make_short()
        caller = gateway.ask(X_Id="q2", X_Budget="6")
        for _ in range(7):
            gateway.reactor.advance(TICK_SECONDS)

        self.assertEqual(caller.status, 0)
        gateway.reactor.advance(2 * TICK_SECONDS)
        self.assertEqual(caller.status, 503)
        self.assertIn(b"Retry-After", caller.received)
        self.assertEqual(len(gateway.calls), SLOTS)

    def test_relayed_and_resumed_requests_are_not_queued(self) -> None:
        """Guards against a second wait of a request that has waited or has run."""
        gateway = make_short(RouteKind.STREAM)
        gateway.ask(X_Id="q2", X_After="3")
        self.assertEqual(len(gateway.calls), 5)
        gateway.service = HttpService(
            reactor=gateway.reactor,
            handle=lambda request, responder: handle_relayed(
                gateway.context, request, responder
            ),
            limits=HttpLimits,
        )
        gateway.ask(X_Id="q3")
        self.assertEqual((len(gateway.calls), count_waiting(gateway)), (6, 0))

    def test_a_service_without_stated_slots_is_never_short(self) -> None:
        """Guards against waits where nobody knows the room."""
        gateway = make_queueing("u1", kind=RouteKind.ONCE)
        document = make_document(
            routes=(make_route(kind=RouteKind.ONCE),), services=(Service(name="chat"),)
        )
        gateway.context.index = index_document(document)
        announcement = make_announcement("u1", slots=0, sequence=2)
        apply_announcement(gateway.context.fleet, announcement, 0.0)
        for number in range(20):
            gateway.ask(X_Id=f"r{number}")

        self.assertEqual(len(gateway.calls), 20)

    def test_the_log_tells_why_a_request_waited(self) -> None:
        """Guards against waits that nobody can explain."""
        gateway = make_short()

        def wait() -> None:
            gateway.ask(X_Id="q2")
            end_call(gateway)

        records = capture_log(wait)
        lines = {
            record["message"]: record["extra"]
            for record in records
            if "ueued" in record["message"]
        }
        queued, dequeued = lines["gateway: Queued"], lines["gateway: Dequeued"]
        self.assertEqual((queued["running"], queued["slots"]), (SLOTS, SLOTS))
        self.assertEqual((queued["rank"], queued["place"]), (0, 0))
        self.assertEqual(dequeued["result"], "started")

    def test_the_wait_makes_a_larger_model_less_likely(self) -> None:
        """Guards against escalations while others wait for room."""
        gateway = make_short()
        context = gateway.context
        self.assertEqual(estimate_queue_wait(context.queues, "chat", 0.0), 0.0)
        gateway.ask(X_Id="q2")
        self.assertGreater(estimate_queue_wait(context.queues, "chat", 1.0), 0.9)


class PartTest(unittest.TestCase):
    """Several gateways that share the room."""

    def test_a_gateway_starts_only_its_part(self) -> None:
        """Guards against gateways that all fill the same free slots."""
        gateway = make_queueing("u1", kind=RouteKind.ONCE)
        announcement = make_announcement("u1", slots=20, sequence=2)
        apply_announcement(gateway.context.fleet, announcement, 0.0)
        share_totals(gateway, 20)
        callers = [gateway.ask(X_Id=f"r{number}") for number in range(5)]
        self.assertEqual(gateway.calls, [])
        share_totals(gateway, 16, demand=(ServiceDemand("chat", 0, 5),))
        gateway.reactor.advance(0.0)
        self.assertLessEqual(len(gateway.calls), 3)
        share_totals(gateway, 10)
        self.assertEqual(len(gateway.calls), len(callers))

    def test_demand_is_reported_only_while_short(self) -> None:
        """Guards against bytes that are sent for nothing, and against lost demand."""
        gateway = make_short()
        gateway.ask(X_Id="q2")
        report = make_report(gateway.context)
        self.assertEqual(report.demand, (ServiceDemand("chat", 0, 1, 1),))
        [use] = report.workspaces or ()
        self.assertEqual((use.workspace, use.running), ("team", SLOTS))
        for number in range(SLOTS + 1):
            end_call(gateway, number)

        gateway.reactor.advance(1.0)
        share_totals(gateway, 0)
        report = make_report(gateway.context)
        self.assertEqual(report.demand, msgspec.UNSET)
        self.assertEqual(report.workspaces, msgspec.UNSET)


class FailureTest(unittest.TestCase):
    """Failures while requests wait: each of them gets an answer."""

    def test_without_a_control_a_gateway_uses_an_equal_part(self) -> None:
        """Guards against a queue that stops, or that floods, without a control."""
        gateway = make_queueing("u1", kind=RouteKind.ONCE)
        announcement = make_announcement("u1", slots=20, sequence=2)
        apply_announcement(gateway.context.fleet, announcement, 0.0)
        share_totals(gateway, 20, gateways=4)
        for number in range(10):
            gateway.ask(X_Id=f"r{number}", X_Budget="20")

        gateway.reactor.advance(MAX_TOTAL_AGE_SECONDS)
        self.assertEqual(gateway.calls, [])
        for _ in range(3):
            gateway.reactor.advance(TICK_SECONDS)

        self.assertEqual(len(gateway.calls), 5)
        end_call(gateway)
        self.assertEqual(len(gateway.calls), 6)

    def test_the_part_of_a_lost_gateway_is_free_with_the_next_totals(self) -> None:
        """Guards against room that a dead gateway keeps."""
        gateways = [make_short(), make_queueing("u1", kind=RouteKind.ONCE)]
        reports = ReportTable()
        for number, gateway in enumerate(gateways):
            if number:
                share_totals(gateway, SLOTS)
                gateway.ask(X_Id="q2")

            report = make_report(gateway.context)
            receive_report(
                reports, msgspec.structs.replace(report, gateway=f"g{number}"), 0.0
            )

        survivor = gateways[1]
        handle_cast(survivor.context, "c1", sum_fleet(reports, 0.5))
        self.assertEqual(survivor.calls, [])
        report = make_report(survivor.context)
        receive_report(reports, msgspec.structs.replace(report, gateway="g1"), 2.0)
        drop_expired(reports, 2.0)
        handle_cast(survivor.context, "c1", sum_fleet(reports, 2.0))
        self.assertEqual(len(survivor.calls), 1)

    def test_in_a_partition_each_half_uses_what_it_sees(self) -> None:
        """Guards against queues that stand still for demand that nobody sees."""
        demand = (ServiceDemand("chat", 0, 6),)
        sent = []
        for name, seen in (("whole", demand), ("half", msgspec.UNSET)):
            with self.subTest(name):
                gateway = make_queueing("u1", kind=RouteKind.ONCE)
                announcement = make_announcement("u1", slots=20, sequence=2)
                apply_announcement(gateway.context.fleet, announcement, 0.0)
                share_totals(gateway, 20, demand=demand)
                callers = [gateway.ask(X_Id=f"r{number}") for number in range(6)]
                share_totals(gateway, 16, demand=seen)
                self.assertEqual(
                    len(gateway.calls) + count_waiting(gateway), len(callers)
                )
                sent.append(len(gateway.calls))

        whole, half = sent
        self.assertLess(whole, half)
        self.assertEqual(half, 4)

    def test_a_stop_answers_all_queued_requests(self) -> None:
        """Guards against callers whose connection ends without a response."""
        for grace in (STOP_MARGIN + 1.0, 8.0):
            with self.subTest(grace=grace):
                gateway = make_short()
                gateway.context.settings = make_settings(
                    grace=grace, request_queue=True
                )
                callers = [gateway.ask(X_Id=f"q{number}") for number in range(20)]
                stop = Shutdown(gateway)
                stop.signal()
                stop.wait(grace)
                self.assertTrue(stop.ended)
                self.assertEqual({one.status for one in callers}, {503})
                self.assertTrue(all(b"Retry-After" in one.received for one in callers))
                self.assertEqual(count_waiting(gateway), 0)

    def test_a_stopping_gateway_serves_what_it_can_finish(self) -> None:
        """Guards against refusals of requests for which room comes in time."""
        gateway = make_short(timeout=3.0)
        caller = gateway.ask(X_Id="q2", X_Budget="3")
        stop = Shutdown(gateway)
        stop.signal()
        stop.wait(0.5)
        end_call(gateway)
        end_call(gateway, 4)
        self.assertEqual(caller.status, 200)

    def test_a_document_that_withdraws_what_a_request_needs(self) -> None:
        """Guards against requests that run without a route or key in force."""
        other = make_route(kind=RouteKind.ONCE, targets=(Target("other", 1),))
        for name, status, fields in (
            ("route", 404, {"routes": ()}),
            ("key", 401, {"workspaces": (Workspace(name="b", keys=("k2",)),)}),
            (
                "service",
                503,
                {"routes": (other,), "services": (Service(name="other"),)},
            ),
            ("nothing", 0, {}),
        ):
            with self.subTest(name):
                gateway = make_short()
                callers = [gateway.ask(X_Id=f"q{number}") for number in range(3)]
                share_document(gateway, **fields)
                self.assertEqual({one.status for one in callers}, {status})
                self.assertEqual(count_waiting(gateway), 0 if status else 3)
                self.assertEqual(len(gateway.calls), SLOTS)

    def test_a_caller_leaves_the_queue(self) -> None:
        """Guards against requests that run for nobody."""
        gateway = make_short()
        left = gateway.ask(X_Id="q2")
        stays: Caller = gateway.ask(X_Id="q3")
        left.leave()
        self.assertEqual(count_waiting(gateway), 1)
        end_call(gateway)
        end_call(gateway, 4)
        self.assertEqual(stays.status, 200)
        self.assertEqual(len(gateway.calls), 5)

    def test_the_next_request_on_a_connection_waits_anew(self) -> None:
        """Guards against the end of one wait that also ends the next one."""
        gateway = make_short()
        caller = gateway.ask(X_Id="q2", X_Budget="1.5")
        gateway.reactor.advance(0.25)
        gateway.reactor.advance(0.3)
        self.assertEqual(caller.status, 503)
        caller.send(
            make_request("/chat/x", b"hi", "X-Key: k1", "X-Budget: 9", "X-Id: q3")
        )
        self.assertEqual(count_waiting(gateway), 1)
        caller.leave()
        self.assertEqual(count_waiting(gateway), 0)

    def test_the_queue_is_empty_after_all_callers_have_left(self) -> None:
        """Guards against timers and requests that are kept for nobody."""
        gateway = make_short()
        for number in range(5):
            gateway.ask(X_Id=f"q{number}").leave()

        gateway.reactor.advance(TICK_SECONDS)
        gateway.reactor.advance(TICK_SECONDS)
        self.assertEqual(count_waiting(gateway), 0)
        self.assertFalse(gateway.context.queues.timer.active())


if __name__ == "__main__":
    unittest.main()
