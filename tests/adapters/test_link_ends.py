"""Closing a link: received calls get their replies, and sent bytes arrive."""

from __future__ import annotations

import unittest
from typing import Any
from typing import cast

from loguru import logger
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from tests.adapters.transports import BUFFER_SIZE
from tests.adapters.transports import connect_protocols
from tests.adapters.transports import deliver_bytes
from waxwingwell.adapters.exceptions import LinkDownError
from waxwingwell.adapters.exceptions import LinkLostError
from waxwingwell.adapters.link_messages import Body
from waxwingwell.adapters.links import Link
from waxwingwell.adapters.links import LinkHandlers
from waxwingwell.adapters.links import LinkNode
from waxwingwell.adapters.links import LinkProtocol
from waxwingwell.adapters.links import LinkTiming
from waxwingwell.adapters.links import close_link
from waxwingwell.messages import AskInForce
from waxwingwell.messages import Drain
from waxwingwell.messages import Failed
from waxwingwell.messages import InForce
from waxwingwell.messages import Message


TIMING = LinkTiming(heartbeat_interval=0.5, idle_timeout=2.0)


class LinkEnd:
    """One process's end of a link; the test answers its calls."""

    def __init__(self, name: str, clock: Clock) -> None:
        self.calls: list[Deferred[Message]] = []
        self.casts: list[Any] = []
        node = LinkNode(
            name=name,
            reactor=clock,
            handlers=LinkHandlers(
                handle_call=self.handle_call,
                handle_cast=lambda sender, body: self.casts.append(body),
                body_type=Body,
            ),
            timing=TIMING,
        )
        self.protocol = LinkProtocol(node)
        self.link = Link(node, name, connect=lambda factory: Deferred())
        self.link.protocol = self.protocol

    def handle_call(self, sender: str, body: Any) -> Deferred[Message]:
        """Store a call until the test answers it."""
        reply: Deferred[Message] = Deferred()
        self.calls.append(reply)
        return reply


class LinkEndTest(unittest.TestCase):
    """One end closes the link; the process at the other end continues."""

    def setUp(self) -> None:
        self.clock = Clock()
        self.near = LinkEnd("near", self.clock)
        self.far = LinkEnd("far", self.clock)
        self.transports = connect_protocols(self.near.protocol, self.far.protocol)
        self.deliver_bytes()

    def deliver_bytes(self) -> None:
        """Send all buffered bytes."""
        deliver_bytes(*self.transports)

    def send_call(self, end: LinkEnd) -> list[Any]:
        """Send a call; return a list that gets its result."""
        results: list[Any] = []
        reply = end.protocol.call(AskInForce(config_version=1), timeout=5.0)
        reply.addCallbacks(
            results.append, lambda failure: results.append(failure.value)
        )
        return results

    def test_unsent_bytes_are_sent(self) -> None:
        """A process closes its links in the reactor turn in which it has sent messages.

        Bytes in the transport's buffer must not be lost: an upstream whose leave was
        acknowledged would still get requests from peers that were not notified, and a
        control that forwarded an operator's order would not learn that it was executed.
        """
        large = Failed(reason="x" * 2 * BUFFER_SIZE, may_have_run=False)
        for name, message in (("a moment", Drain()), ("a reader that lags", large)):
            with self.subTest(name):
                self.setUp()
                results = self.send_call(self.far)
                self.deliver_bytes()
                self.near.protocol.cast(message)
                self.near.calls[0].callback(InForce(in_force=True))
                close_link(self.near.link)
                self.deliver_bytes()
                self.assertEqual(results, [InForce(in_force=True)])
                self.assertEqual(self.far.casts, [message])
                self.assertFalse(self.transports[0].connected)

    def test_a_received_call_is_answered(self) -> None:
        """A process is stopped while it handles a call.

        Without the reply, the other end could not know whether an order was executed,
        and would report to the operator that it was not.
        """
        results = self.send_call(self.far)
        self.deliver_bytes()
        close_link(self.near.link)
        self.deliver_bytes()
        self.assertTrue(self.transports[0].connected)
        self.near.calls[0].callback(InForce(in_force=True))
        self.deliver_bytes()
        self.assertEqual(results, [InForce(in_force=True)])
        self.assertFalse(self.transports[0].connected)

    def test_a_pending_outgoing_call_gets_its_reply(self) -> None:
        """A control leaves the group while an order to it is in flight.

        Processes that see the new members close their links to it. Closing at once
        would leave the order's outcome unknown, though the reply arrives soon after.
        """
        results = self.send_call(self.near)
        self.deliver_bytes()
        close_link(self.near.link)
        self.deliver_bytes()
        self.far.calls[0].callback(InForce(in_force=True))
        self.deliver_bytes()
        self.assertEqual(results, [InForce(in_force=True)])
        self.assertFalse(self.transports[0].connected)

    def test_calls_after_the_close_has_started(self) -> None:
        """An order is sent over a link that is closing.

        The sender may only use another process if it knows that nothing was sent, and
        a call that arrives too late for a reply must not be executed.
        """
        self.send_call(self.far)
        self.deliver_bytes()
        close_link(self.near.link)
        [error] = self.send_call(self.near)
        self.assertIsInstance(error, LinkDownError)
        self.assertFalse(self.near.protocol.cast(Drain()))
        self.near.calls[0].callback(InForce(in_force=True))
        late_results = self.send_call(self.far)
        self.transports[1].drain()
        self.assertEqual(len(self.near.calls), 1)
        self.deliver_bytes()
        self.assertIsInstance(late_results[0], LinkLostError)

    def test_an_unresponsive_peer_does_not_block_the_close(self) -> None:
        self.send_call(self.far)
        self.deliver_bytes()
        close_link(self.near.link)
        for _ in range(6):
            self.clock.advance(0.5)

        self.assertTrue(self.transports[0].aborted)

    def test_a_lost_connection_fails_calls_at_once(self) -> None:
        results = self.send_call(self.near)
        self.near.protocol.abort()
        self.assertIsInstance(results[0], LinkLostError)

    def test_a_reply_that_cannot_be_encoded_is_logged(self) -> None:
        """A handler returns a reply that cannot be encoded.

        The caller only sees a timeout, so the log line is the only sign of the cause.
        """
        self.send_call(self.near)
        self.deliver_bytes()
        lines: list[str] = []
        sink = logger.add(lines.append, level="ERROR", format="{message}")
        self.far.calls[0].callback(cast("Any", object()))
        logger.remove(sink)
        self.assertEqual(len(lines), 1)
        self.assertIn("A call failed", lines[0])
