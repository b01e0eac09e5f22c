"""Tests of the orders to evacuate a data centre, as a control accepts them."""

from __future__ import annotations

import unittest
from dataclasses import replace
from typing import Any
from typing import cast
from unittest.mock import patch

from twisted.internet.defer import Deferred
from twisted.internet.defer import succeed

from tests.adapters.registry.support import Registry
from tests.adapters.registry.support import make_registry
from waxwingwell.adapters.http.pieces import BodyPieces
from waxwingwell.adapters.http.records import HttpRequest
from waxwingwell.adapters.registry import api
from waxwingwell.adapters.registry.operators import serve_operators
from waxwingwell.routing.messages import Accepted
from waxwingwell.routing.messages import SetEvacuation
from waxwingwell.state.routing import apply_routing
from waxwingwell_platform.control import make_handler


class Responder:
    """Records the response to one call."""

    def __init__(self) -> None:
        self.ended = False
        self.status = 0
        self.body = b""

    def send(self, status: int, headers: Any, body: bytes = b"") -> None:
        """Record the response."""
        self.status = status
        self.body = body


class Operator:
    """Calls one control, whose commands are applied at once."""

    def __init__(self) -> None:
        self.registry: Registry = make_registry()
        self.context = self.registry.context
        self.context.settings = replace(
            self.context.settings, data_centres=("north", "south")
        )
        self.commands: list[SetEvacuation] = []

    def submit(self, context: Any, command: Any) -> Deferred[Any]:
        """Apply a command instead of submitting it to the log."""
        self.commands.append(command)
        apply_routing(context.state, command)
        return succeed(Accepted())

    def call(
        self, method: str, path: str, body: bytes = b"", *, leave: bool = False
    ) -> Responder:
        """Call the control; ``leave`` disconnects before the order is executed."""
        responder = Responder()
        request = HttpRequest(method.encode(), path.encode(), [], BodyPieces(body))
        with patch.object(api, "submit", self.submit):
            handle = serve_operators(self.context, make_handler(self.context))
            handle(request, cast("Any", responder))
            responder.ended = leave
            self.registry.clock.advance(api.ABANDON_CHECK_SECONDS)

        return responder


class CallTest(unittest.TestCase):
    """Responses to calls."""

    def test_calls(self) -> None:
        """Guards against wrong calls that change the state."""
        for method, path, body, status, expected in (
            ("POST", "/-/evacuations/north", b"", 200, [True]),
            ("DELETE", "/-/evacuations/north", b"", 200, [False]),
            ("POST", "/-/evacuations/north?x=1", b"", 200, [True]),
            ("POST", "/-/evacuations/so%75th", b"", 200, [True]),
            ("POST", "/-/evacuations/west", b"", 400, []),
            ("POST", "/-/evacuations/", b"", 405, []),
            ("GET", "/-/evacuations/north", b"", 405, []),
            ("POST", "/-/evacuations/north", b"{}", 400, []),
            ("PUT", "/-/evacuations/north", b"", 405, []),
            ("POST", "/-/evacuations", b"", 405, []),
            ("POST", "/admin/v1/evacuations/north", b"", 200, [True]),
            ("DELETE", "/admin/v1/evacuations/west", b"", 400, []),
            ("POST", "/-/evacuationsnorth", b"", 404, []),
        ):
            with self.subTest(f"{method} {path} {body!r}"):
                operator = Operator()
                responder = operator.call(method, path, body)
                self.assertEqual(responder.status, status)
                found = [command.active for command in operator.commands]
                self.assertEqual(found, expected)

    def test_errors_name_their_place(self) -> None:
        for method, path, body, named in (
            ("POST", "/-/evacuations/west", b"", (b"west", b"north, south")),
            ("POST", "/-/evacuations/north", b"{}", (b"body",)),
            ("PUT", "/-/evacuations/north", b"", (b"PUT", b"POST, DELETE")),
        ):
            with self.subTest(f"{method} {path}"):
                responder = Operator().call(method, path, body)
                for text in named:
                    self.assertIn(text, responder.body)

    def test_an_order_whose_operator_has_left_is_not_executed(self) -> None:
        """Guards against an evacuation that is ordered after its withdrawal.

        A suspended control reads an order that its operator has sent to another one,
        and has withdrawn there since.
        """
        operator = Operator()
        self.assertEqual(
            operator.call("POST", "/-/evacuations/north", leave=True).status, 0
        )
        self.assertEqual(operator.commands, [])

    def test_orders_carry_the_revision_that_the_control_knows(self) -> None:
        operator = Operator()
        for method in ("POST", "DELETE", "POST"):
            operator.call(method, "/-/evacuations/south")

        self.assertEqual([one.revision for one in operator.commands], [0, 1, 2])
