"""Tests of the paces that a gateway samples, reports and applies."""

from __future__ import annotations

import math
import unittest
from types import SimpleNamespace
from typing import Any

import msgspec

from tests.routing.factories import make_document
from tests.routing.factories import make_route
from waxwingwell.adapters.gateway.reporting import detach_from_control
from waxwingwell.adapters.gateway.reporting import send_report
from waxwingwell.adapters.gateway.steering import handle_cast
from waxwingwell.routing.engine_speeds import find_duration_factor
from waxwingwell.routing.health import record_unreachable
from waxwingwell.routing.lookup import index_document
from waxwingwell.routing.messages import EnginePace
from waxwingwell.routing.messages import EngineSpeed
from waxwingwell.routing.messages import FleetReport
from waxwingwell.routing.messages import RelayGateway
from waxwingwell.routing.models import ANY_MODEL
from waxwingwell.routing.models import find_pool
from waxwingwell.routing.pools import list_pool
from waxwingwell.routing.records import Model
from waxwingwell.routing.records import RouteKind
from waxwingwell.routing.records import Service

from .support import Gateway
from .support import Upstream
from .support import capture_log
from .support import make_chunk
from .support import make_gateway
from .support import make_response
from .support import make_stream_head


EVENT_SECONDS = 0.1
EVENT = make_chunk(b"id: 1\ndata: x\n\n")
MODELS = ("m-small", "m-large")


def attach(gateway: Gateway, *, up: bool = True) -> list[Any]:
    """Attach a gateway to a control; return what it will have sent."""
    sent: list[Any] = []

    def cast(body: Any) -> bool:
        if up:
            sent.append(body)

        return up

    closed = SimpleNamespace(called=False)
    protocol = SimpleNamespace(cast=cast, closed=closed)
    link: Any = SimpleNamespace(protocol=protocol, stopped=False)
    gateway.context.controls["control"] = link
    gateway.context.attached_control = "control"
    return sent


def send_stream(
    gateway: Gateway, events: int = 6, **headers: str
) -> tuple[Upstream, str]:
    """Run a stream with a slow first event; return its call and its upstream."""
    gateway.ask(**headers)
    call = gateway.calls[-1]
    request = call.accept()
    gateway.reactor.advance(0.7)
    call.respond(make_stream_head())
    for _ in range(events):
        call.respond(EVENT)
        gateway.reactor.advance(EVENT_SECONDS)

    lines = request.decode().split("\r\n")
    name = next(one.split(": ")[1] for one in lines if one.startswith("X-Upstream"))
    return call, name


def list_reported(gateway: Gateway) -> tuple[EnginePace, ...]:
    """Send a report, and return its paces."""
    sent = attach(gateway)
    gateway.reactor.advance(1.0)
    send_report(gateway.context)
    paces: tuple[EnginePace, ...] = sent[-1].paces or ()
    return paces


class StreamTest(unittest.TestCase):
    """Paces of streams."""

    def test_a_stream(self) -> None:
        """Guards against a first event that counts, as it follows the prefill."""
        gateway = make_gateway()
        _, upstream = send_stream(gateway, X_Model="m")
        expected = (EnginePace(upstream, 1, "m", 5, EVENT_SECONDS * 1000),)
        self.assertEqual(list_reported(gateway), expected)
        self.assertEqual(list_reported(gateway), ())

    def test_a_resumed_stream(self) -> None:
        """Guards against the pause before a resumption as a sample of an engine."""
        gateway = make_gateway()
        broken, first = send_stream(gateway, events=5)
        broken.reset()
        gateway.reactor.advance(0.5)
        call = gateway.calls[-1]
        call.accept()
        call.respond(make_stream_head())
        for _ in range(5):
            gateway.reactor.advance(EVENT_SECONDS / 2)
            call.respond(EVENT)

        found = {one.upstream: (one.count, one.ms) for one in list_reported(gateway)}
        self.assertEqual(found.pop(first), (4, 100.0))
        self.assertEqual(list(found.values()), [(4, 50.0)])

    def test_failed_responses(self) -> None:
        """Guards against the pace of an error's body."""
        gateway = make_gateway()
        gateway.ask()
        call = gateway.calls[-1]
        call.accept()
        call.respond(make_response(b"", 500).replace(b"Length: 0", b"Length: 99"))
        for _ in range(6):
            gateway.reactor.advance(EVENT_SECONDS)
            call.respond(b"data: x\n\n")

        self.assertEqual(list_reported(gateway), ())

    def test_streams_outside_the_pool_of_their_model(self) -> None:
        """Guards against engines that count as slow for batches of several models."""
        names = tuple(f"u{number}" for number in range(1, 11))
        for is_lost in (False, True):
            with self.subTest(is_lost=is_lost):
                gateway = make_gateway(*names, models=MODELS)
                context = gateway.context
                route = context.index.document.routes[0]
                pool = list_pool(names, find_pool(route, ANY_MODEL, MODELS[0]))
                now = gateway.reactor.seconds()
                for name in pool if is_lost else ():
                    record_unreachable(context.health, name, now)

                _, upstream = send_stream(gateway, X_Model=ANY_MODEL)
                found = [one.upstream for one in list_reported(gateway)]
                self.assertEqual(upstream in pool, not is_lost)
                self.assertLess(len(pool), len(names))
                self.assertEqual(found, [] if is_lost else [upstream])

    def test_relayed_streams(self) -> None:
        """Guards against the pace of a gateway that relays as that of an engine."""
        gateway = make_gateway()
        context = gateway.context
        context.relays = (RelayGateway("g2", "127.0.0.9", 8080, "north"),)
        context.path.lost_at = 0.0
        gateway.ask()
        call = gateway.calls[-1]
        call.accept()
        call.respond(make_stream_head())
        for _ in range(6):
            gateway.reactor.advance(EVENT_SECONDS)
            call.respond(EVENT)

        self.assertEqual(call.port, 8080)
        self.assertEqual(list_reported(gateway), ())

    def test_a_late_gateway(self) -> None:
        """Guards against a gateway that reports its own delay as that of engines."""
        gateway = make_gateway()
        send_stream(gateway)
        gateway.context.delays.late_at = gateway.reactor.seconds() + 1.0
        self.assertEqual(list_reported(gateway), ())


class CallTest(unittest.TestCase):
    """Times of whole calls."""

    def run_calls(
        self, service: Service, status: int = 200, **route: Any
    ) -> tuple[EnginePace, ...]:
        """Run some calls, one after the other; return the reported paces."""
        gateway = make_gateway("u1", kind=RouteKind.IDEMPOTENT, **route)
        document = make_document(
            routes=(make_route(kind=RouteKind.IDEMPOTENT, **route),),
            services=(service,),
        )
        gateway.context.index = index_document(document)
        for _ in range(4):
            gateway.ask()
            gateway.reactor.advance(0.02)
            call = gateway.calls[-1]
            call.accept()
            gateway.reactor.advance(0.1)
            call.respond(make_response(status=status))
            gateway.reactor.advance(0.1)

        return list_reported(gateway)

    def test_calls_of_a_service_without_models(self) -> None:
        """Guards against a remote upstream that counts as slow for its distance."""
        paces = self.run_calls(Service(name="chat", slots=4))
        self.assertEqual(paces, (EnginePace("u1", 1, "r1", 4, 80.0),))

    def test_a_call_whose_length_is_not_stated(self) -> None:
        """Guards against the time to the head as the time of the whole call."""
        gateway = make_gateway("u1", kind=RouteKind.IDEMPOTENT)
        document = make_document(
            routes=(make_route(kind=RouteKind.IDEMPOTENT),),
            services=(Service(name="chat", slots=4),),
        )
        gateway.context.index = index_document(document)
        for _ in range(4):
            gateway.ask()
            call = gateway.calls[-1]
            call.accept()
            for piece in (make_stream_head(), make_chunk(b"x"), b"0\r\n\r\n"):
                gateway.reactor.advance(0.1)
                call.respond(piece)

        expected = (EnginePace("u1", 1, "r1", 4, 300.0),)
        self.assertEqual(list_reported(gateway), expected)

    def test_other_calls(self) -> None:
        """Guards against calls whose time says nothing about the engine."""
        for name, service, status in (
            ("models", Service(name="chat", models=(Model("m", 1.0),)), 200),
            ("memory", Service(name="chat", memory_tokens=1000), 200),
            ("refused", Service(name="chat"), 404),
            ("failed", Service(name="chat"), 500),
        ):
            with self.subTest(name):
                self.assertEqual(self.run_calls(service, status), ())


class ReportTest(unittest.TestCase):
    """Reports to controls."""

    def test_a_control_that_is_left_gets_no_samples(self) -> None:
        """Guards against samples that are counted at the former control as well."""
        gateway = make_gateway()
        send_stream(gateway)
        sent = attach(gateway)
        gateway.reactor.advance(1.0)
        detach_from_control(gateway.context, "control")
        self.assertIs(sent[-1].paces, msgspec.UNSET)
        send_report(gateway.context)
        self.assertEqual(len(sent[-1].paces), 1)

    def test_a_full_link(self) -> None:
        """Guards against samples that are lost with a report that was not sent."""
        gateway = make_gateway()
        send_stream(gateway)
        attach(gateway, up=False)
        gateway.reactor.advance(1.0)
        send_report(gateway.context)
        self.assertEqual(len(list_reported(gateway)), 1)


class SpeedTest(unittest.TestCase):
    """Factors from controls."""

    def test_factors_are_applied(self) -> None:
        gateway = make_gateway()
        speeds = (EngineSpeed("u1", 1, 2.0), EngineSpeed("u2", 1, 0.5))
        body = FleetReport(gateways=1, use=(), speeds=speeds)
        handle_cast(gateway.context, "control", body)
        table = gateway.context.engine_speeds
        now = gateway.reactor.seconds()
        found = [find_duration_factor(table, f"u{n}", 1, now) for n in (1, 2, 3)]
        self.assertEqual(found, [2.0, 0.5, 1.0])

    def test_invalid_factors_are_logged_once_in_a_while(self) -> None:
        """Guards against a log that a broken control fills, or that does not tell."""
        gateway = make_gateway()
        speeds = (EngineSpeed("u1", 1, math.nan), EngineSpeed("u2", 1, 0.5))
        body = FleetReport(gateways=1, use=(), speeds=speeds)

        def receive() -> None:
            for _ in range(20):
                handle_cast(gateway.context, "control", body)
                gateway.reactor.advance(1.0)

        records = capture_log(receive)
        self.assertEqual(
            [one["message"] for one in records], ["gateway: Invalid speeds dropped"] * 2
        )
