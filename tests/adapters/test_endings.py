"""Planned stops of controls and entries: received requests still get responses."""

from __future__ import annotations

import unittest
from types import SimpleNamespace
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

from klein import Klein
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.internet.task import LoopingCall

from tests.adapters.transports import BufferedTransport
from tests.adapters.transports import connect_protocols
from tests.adapters.transports import deliver_bytes
from waxwingwell.adapters import shutdown
from waxwingwell.adapters.connection_tracking import ConnectionTrackingSite
from waxwingwell.adapters.control import daemon as control
from waxwingwell.adapters.control.admin import require_operator
from waxwingwell.adapters.entry import daemon as entry
from waxwingwell.adapters.entry.periodic import PeriodicTasks
from waxwingwell.adapters.link_messages import Body
from waxwingwell.adapters.links import LinkHandlers
from waxwingwell.adapters.links import LinkNode
from waxwingwell.adapters.links import LinkProtocol
from waxwingwell.adapters.links import LinkTiming
from waxwingwell.adapters.settings import OperatorKey
from waxwingwell.keys import hash_key
from waxwingwell.messages import AskInForce
from waxwingwell.messages import Drain
from waxwingwell.messages import InForce
from waxwingwell.messages import Message


if TYPE_CHECKING:
    from collections.abc import Coroutine


KEY = "key"
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key\r\n\r\n"


class Port:
    """A fake listening port of a site."""

    def __init__(self, site: Any = None) -> None:
        self.factory = site

    def stopListening(self) -> None:  # noqa: N802
        """Do nothing."""


class StoppingProcess:
    """A process with an HTTP site and a link that another process has opened.

    The test controls when requests and calls are answered and when bytes are sent.
    """

    def __init__(self) -> None:
        self.clock = Clock()
        self.requests: list[Deferred[bytes]] = []
        self.calls: list[Deferred[Message]] = []
        self.received_casts: list[Any] = []
        self.node = self.make_node("near")
        self.peer = LinkProtocol(self.make_node("far"))
        self.protocol = LinkProtocol(self.node)
        self.node.accepted.add(self.protocol)
        self.protocol.closed.addCallback(lambda _: self.node.accepted.clear())
        self.link = connect_protocols(self.protocol, self.peer)
        key = OperatorKey(name="operator", digest=hash_key(KEY))
        self.context: Any = SimpleNamespace(
            settings=SimpleNamespace(node="near", operators=(key,)),
            reactor=self.clock,
            clock=self.clock.seconds,
            unanswered=0,
            flush_due=False,
            links={},
            group=SimpleNamespace(
                halted="for the test", store=SimpleNamespace(close=lambda: None)
            ),
            control=SimpleNamespace(links={}),
            client=SimpleNamespace(close=self.close_client),
            traces=SimpleNamespace(close=lambda: None),
        )
        self.site = self.make_site()
        deliver_bytes(*self.link)

    def make_node(self, name: str) -> LinkNode:
        """Return the shared state of one process's links."""
        return LinkNode(
            name=name,
            reactor=self.clock,
            handlers=LinkHandlers(
                handle_call=self.handle_call,
                handle_cast=lambda sender, body: self.received_casts.append(body),
                body_type=Body,
            ),
            timing=LinkTiming(),
        )

    def make_site(self) -> ConnectionTrackingSite:
        """Return a site whose requests of known operators the test answers."""
        app = Klein()

        async def wait(request: Any, operator: OperatorKey) -> bytes:
            response: Deferred[bytes] = Deferred()
            self.requests.append(response)
            return await response

        app.route("/")(require_operator(self.context)(wait))
        return ConnectionTrackingSite(app.resource(), reactor=self.clock)

    def handle_call(self, sender: str, body: Any) -> Deferred[Message]:
        """Store a call until the test answers it."""
        reply: Deferred[Message] = Deferred()
        self.calls.append(reply)
        return reply

    async def close_client(self) -> None:
        """Do nothing."""

    def open_caller(self) -> BufferedTransport:
        """Return the connection of a caller that has sent a request."""
        channel: Any = self.site.buildProtocol(None)
        transport = BufferedTransport(channel)
        channel.makeConnection(transport)
        channel.dataReceived(REQUEST)
        return transport

    def call(self) -> list[Any]:
        """Send a call from the other process; return a list that gets its result."""
        results: list[Any] = []
        reply = self.peer.call(AskInForce(config_version=1), timeout=60.0)
        reply.addCallbacks(
            results.append, lambda failure: results.append(failure.value)
        )
        deliver_bytes(*self.link)
        return results

    def stop_control(self) -> Deferred[None]:
        """Run the planned stop of a control."""
        daemon = control.ControlDaemon(
            context=self.context,
            node=self.node,
            link_port=Port(),
            admin_port=Port(self.site),
            loop=LoopingCall(lambda: None),
        )
        return run(control.stop_control(daemon))

    def close_entry(self) -> Deferred[None]:
        """Run the last part of an entry's stop, after its callers are gone."""
        daemon = entry.EntryDaemon(
            context=self.context,
            node=self.node,
            periodic_tasks=PeriodicTasks(),
            placements=cast("Any", None),
            caller_port=Port(),
            upstream_port=Port(self.site),
            link_port=Port(),
            loops=[],
        )
        return run(entry.close_entry(daemon))

    def run(self, seconds: float, *drain: BufferedTransport) -> None:
        """Advance the clock while the bytes on ``drain`` are sent."""
        for _ in range(round(seconds / 0.05)):
            deliver_bytes(*drain)
            self.clock.advance(0.05)


def run(stop: Coroutine[Any, Any, None]) -> Deferred[None]:
    """Start a stop; its error fails the test where the result is read."""
    return Deferred.fromCoroutine(stop)


class ControlTest(unittest.TestCase):
    """Planned stops of a control, for example for an upgrade."""

    def test_a_running_operator_request_is_answered(self) -> None:
        """A control stops while the next leader commits an operator's change.

        If it closed the connection at once, the operator would have to find out
        whether the change is in force.
        """
        process = StoppingProcess()
        caller = process.open_caller()
        stopped = process.stop_control()
        process.run(1.0, caller, *process.link)
        self.assertFalse(stopped.called)
        process.requests[0].callback(b"accepted")
        process.run(0.5, *process.link)
        self.assertFalse(stopped.called)
        process.run(0.5, caller)
        self.assertTrue(stopped.called)
        self.assertTrue(caller.sent.endswith(b"accepted\r\n0\r\n\r\n"))
        self.assertEqual(process.context.unanswered, 0)

    def test_a_running_call_is_answered(self) -> None:
        """A control stops while it commits an entry's settle.

        Without the reply, the entry would not know the outcome, and its caller would
        wait for the next attempt.
        """
        process = StoppingProcess()
        results = process.call()
        stopped = process.stop_control()
        process.run(1.0, *process.link)
        self.assertFalse(stopped.called)
        process.calls[0].callback(InForce(in_force=True))
        process.run(0.5)
        self.assertFalse(stopped.called)
        process.run(0.5, *process.link)
        self.assertTrue(stopped.called)
        self.assertEqual(results, [InForce(in_force=True)])

    def test_unanswered_work_does_not_block_the_stop(self) -> None:
        process = StoppingProcess()
        process.open_caller()
        process.call()
        stopped = process.stop_control()
        process.run(control.RESPONSE_LIMIT + 2 * shutdown.CLOSE_TIMEOUT_SECONDS + 0.1)
        self.assertTrue(stopped.called)


class EntryTest(unittest.TestCase):
    """Closing an entry after its callers have their responses."""

    def test_unsent_bytes_on_a_link_are_sent(self) -> None:
        """An entry stops just after it has announced a leaving upstream to another.

        If the bytes were lost in the buffer, the other entry would still send work to
        the upstream.
        """
        process = StoppingProcess()
        process.protocol.cast(Drain())
        closed = process.close_entry()
        process.run(0.5)
        self.assertFalse(closed.called)
        process.run(0.5, *process.link)
        self.assertTrue(closed.called)
        self.assertEqual(process.received_casts, [Drain()])

    def test_an_unsent_response_to_an_upstream_is_sent(self) -> None:
        """An entry stops while the acknowledgement of an upstream's leave is unsent."""
        process = StoppingProcess()
        upstream = process.open_caller()
        process.requests[0].callback(b"taken")
        closed = process.close_entry()
        process.run(0.5, *process.link)
        self.assertFalse(closed.called)
        process.run(0.5, upstream)
        self.assertTrue(closed.called)
        self.assertTrue(upstream.sent.endswith(b"taken\r\n0\r\n\r\n"))
