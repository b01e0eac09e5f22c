"""Tests of the orders to start a roll-out, as a control accepts them."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING
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
from waxwingwell.routing.messages import Accepted
from waxwingwell.state.routing import apply_routing
from waxwingwell_platform.control import make_handler

from .test_evacuations import Responder


if TYPE_CHECKING:
    from waxwingwell.routing.messages import BeginRollout


ORDER = b'{"backend":"chat","target":"%s","duration_s":12}'


class Operator:
    """Calls one control, whose commands are applied at once."""

    def __init__(self) -> None:
        self.registry: Registry = make_registry()
        self.commands: list[BeginRollout] = []

    def submit(self, context: Any, command: Any) -> Deferred[Any]:
        """Apply a command instead of submitting it to the log."""
        self.commands.append(command)
        apply_routing(context.state, command)
        return succeed(Accepted())

    def order(self, target: bytes, *, leave: bool = False) -> int:
        """Order a roll-out; ``leave`` disconnects before the order is executed."""
        responder = Responder()
        request = HttpRequest(b"POST", b"/-/rollouts", [], BodyPieces(ORDER % target))
        with patch.object(api, "submit", self.submit):
            handle = make_handler(self.registry.context)
            handle(request, cast("Any", responder))
            responder.ended = leave
            self.registry.clock.advance(api.ABANDON_CHECK_SECONDS)

        return responder.status


class OrderTest(unittest.TestCase):
    """Orders to start a roll-out."""

    def test_an_order_whose_operator_has_left_is_not_executed(self) -> None:
        """Guards against a roll-out that starts again after it was rolled back.

        A suspended control reads an order that its operator has sent to another one,
        where it was rolled back since.
        """
        operator = Operator()
        operator.order(b"v2", leave=True)
        self.assertEqual(operator.commands, [])

    def test_orders_carry_the_revision_that_the_control_knows(self) -> None:
        operator = Operator()
        for target in (b"v2", b"v3", b"v4"):
            self.assertEqual(operator.order(target), 200)

        self.assertEqual([one.revision for one in operator.commands], [0, 1, 2])
