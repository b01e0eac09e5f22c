"""The end of a link: what was read is answered, what was sent arrives."""

from __future__ import annotations

import unittest
from typing import Any
from typing import cast

from loguru import logger
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from tests.adapters.transports import BUFFER_SIZE
from tests.adapters.transports import carry
from tests.adapters.transports import join
from waxwingwell.adapters.bodies import Body
from waxwingwell.adapters.exceptions import LinkDownError
from waxwingwell.adapters.exceptions import LinkLostError
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


class End:
    """One process's end of a link, whose calls are answered by the test."""

    def __init__(self, name: str, clock: Clock) -> None:
        self.calls: list[Deferred[Message]] = []
        self.casts: list[Any] = []
        node = LinkNode(
            name=name,
            reactor=clock,
            handlers=LinkHandlers(
                take_call=self.take_call,
                take_cast=lambda sender, body: self.casts.append(body),
                body_type=Body,
            ),
            timing=TIMING,
        )
        self.protocol = LinkProtocol(node)
        self.link = Link(node, name, connect=lambda factory: Deferred())
        self.link.protocol = self.protocol

    def take_call(self, sender: str, body: Any) -> Deferred[Message]:
        """Keep a call until the test answers it."""
        answer: Deferred[Message] = Deferred()
        self.calls.append(answer)
        return answer


class EndTest(unittest.TestCase):
    """One end closes, the other is a process that goes on."""

    def setUp(self) -> None:
        self.clock = Clock()
        self.near = End("near", self.clock)
        self.far = End("far", self.clock)
        self.transports = join(self.near.protocol, self.far.protocol)
        self.carry()

    def carry(self) -> None:
        """Let all bytes leave."""
        carry(*self.transports)

    def ask(self, end: End) -> list[Any]:
        """Send a call; return the list that takes its result."""
        results: list[Any] = []
        answer = end.protocol.call(AskInForce(config_version=1), timeout=5.0)
        answer.addCallbacks(results.append, lambda one: results.append(one.value))
        return results

    def test_bytes_that_have_not_left(self) -> None:
        """A process ends in the turn in which it has told others something.

        The bytes are still in the transport's buffer. An upstream that has said that
        it leaves, and was told that we know, would go on getting requests, since
        nobody else heard of it; an operator's order would be carried out, and the
        control that passed it on could not tell.
        """
        large = Failed(reason="x" * 2 * BUFFER_SIZE, may_have_run=False)
        for name, told in (("a moment", Drain()), ("a reader that lags", large)):
            with self.subTest(name):
                self.setUp()
                results = self.ask(self.far)
                self.carry()
                self.near.protocol.cast(told)
                self.near.calls[0].callback(InForce(in_force=True))
                close_link(self.near.link)
                self.carry()
                self.assertEqual(results, [InForce(in_force=True)])
                self.assertEqual(self.far.casts, [told])
                self.assertFalse(self.transports[0].connected)

    def test_a_call_that_was_read(self) -> None:
        """A process is told to stop while it works on a call.

        The other end must get the answer: else it can't know whether an order was
        carried out, and its operator is told that it was not.
        """
        results = self.ask(self.far)
        self.carry()
        close_link(self.near.link)
        self.carry()
        self.assertTrue(self.transports[0].connected)
        self.near.calls[0].callback(InForce(in_force=True))
        self.carry()
        self.assertEqual(results, [InForce(in_force=True)])
        self.assertFalse(self.transports[0].connected)

    def test_a_call_of_our_own(self) -> None:
        """A control leaves the group while an order is on its way to it.

        Its link is closed by whoever sees the new members. The order's outcome would
        be unknown, though the answer comes a moment later.
        """
        results = self.ask(self.near)
        self.carry()
        close_link(self.near.link)
        self.carry()
        self.far.calls[0].callback(InForce(in_force=True))
        self.carry()
        self.assertEqual(results, [InForce(in_force=True)])
        self.assertFalse(self.transports[0].connected)

    def test_calls_after_the_end_has_begun(self) -> None:
        """An order is given to a process that is about to end.

        Its sender may go on to another one only if it knows that nothing was sent; and
        what arrives too late to be answered must not be carried out.
        """
        self.ask(self.far)
        self.carry()
        close_link(self.near.link)
        [error] = self.ask(self.near)
        self.assertIsInstance(error, LinkDownError)
        self.assertFalse(self.near.protocol.cast(Drain()))
        self.near.calls[0].callback(InForce(in_force=True))
        late = self.ask(self.far)
        self.transports[1].drain()
        self.assertEqual(len(self.near.calls), 1)
        self.carry()
        self.assertIsInstance(late[0], LinkLostError)

    def test_a_silent_peer_does_not_hold_an_end_up(self) -> None:
        self.ask(self.far)
        self.carry()
        close_link(self.near.link)
        for _ in range(6):
            self.clock.advance(0.5)

        self.assertTrue(self.transports[0].aborted)

    def test_a_lost_connection_ends_calls_at_once(self) -> None:
        results = self.ask(self.near)
        self.near.protocol.abort()
        self.assertIsInstance(results[0], LinkLostError)

    def test_an_answer_that_can_not_be_sent_leaves_a_line(self) -> None:
        """An answer that has no form on the wire, by an error of ours.

        Its caller waits until its time is over, and only a line tells why.
        """
        self.ask(self.near)
        self.carry()
        found: list[str] = []
        sink = logger.add(found.append, level="ERROR", format="{message}")
        self.far.calls[0].callback(cast("Any", object()))
        logger.remove(sink)
        self.assertEqual(len(found), 1)
        self.assertIn("A call failed", found[0])
