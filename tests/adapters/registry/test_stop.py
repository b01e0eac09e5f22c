"""The planned stop of a registry: requests that were read get their response."""

from __future__ import annotations

import unittest
from contextlib import contextmanager
from functools import partial
from types import SimpleNamespace
from typing import TYPE_CHECKING
from typing import Any
from typing import cast
from unittest import mock

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from tests.adapters.transports import BufferedTransport
from tests.adapters.transports import connect_protocols
from tests.adapters.transports import deliver_bytes
from tests.routing.factories import make_announcement
from waxwingwell.adapters import events
from waxwingwell.adapters.http.connection import HttpConnection
from waxwingwell.adapters.http.records import HttpLimits
from waxwingwell.adapters.http.records import HttpRequest
from waxwingwell.adapters.http.server import HttpService
from waxwingwell.adapters.links import ROUTING_TIMING
from waxwingwell.adapters.links import Link
from waxwingwell.adapters.links import LinkHandlers
from waxwingwell.adapters.links import LinkNode
from waxwingwell.adapters.links import LinkProtocol
from waxwingwell.adapters.registry import stopping
from waxwingwell.adapters.registry.api import announce
from waxwingwell.adapters.registry.api import withdraw
from waxwingwell.adapters.registry.context import RegistryBody
from waxwingwell.adapters.registry.daemon import RegistryDaemon
from waxwingwell.adapters.registry.daemon import run_tick
from waxwingwell.adapters.registry.hub import handle_cast
from waxwingwell.routing.messages import Accepted
from waxwingwell.routing.messages import ReadRouting
from waxwingwell.routing.messages import ShareNews

from .support import make_registry


if TYPE_CHECKING:
    from collections.abc import Iterator

    from waxwingwell.adapters.http.responder import Responder
    from waxwingwell.messages import Message


class Port:
    """A fake listening port."""

    closed = False

    def stopListening(self) -> None:  # noqa: N802
        """Record that the port was closed."""
        self.closed = True


class Fixture:
    """A registry, another control linked to it in both directions, and callers.

    Calls of the control and commands of callers stay pending until the test responds;
    a deregistration is acknowledged at once. Bytes are sent when the test says so.
    """

    def __init__(self) -> None:
        registry = make_registry()
        self.context, self.clock = registry.context, registry.clock
        self.calls: list[Deferred[Message]] = []
        self.commands: list[Responder] = []
        self.received: list[Any] = []
        self.ended: list[float] = []
        self.links: list[BufferedTransport] = []
        node = self.make_node("127.0.0.1", partial(handle_cast, self.context))
        self.context.node = node
        peer = self.make_node("127.0.0.2", lambda _, body: self.received.append(body))
        self.context.controls = {"127.0.0.2": self.connect(node, peer)}
        self.peer_link = self.connect(peer, node)
        self.service = HttpService(
            reactor=self.clock, handle=self.handle, limits=HttpLimits
        )
        self.port: Any = Port()
        self.daemon = RegistryDaemon(
            self.context,
            self.service,
            [self.port],
            LoopingCall(run_tick, self.context),
        )
        deliver_bytes(*self.links)

    def make_node(self, name: str, cast_handler: Any) -> LinkNode:
        """Return the shared state of one process's links."""
        return LinkNode(
            name=name,
            reactor=self.clock,
            handlers=LinkHandlers(
                handle_call=self.handle_call,
                handle_cast=cast_handler,
                body_type=RegistryBody,
            ),
            timing=ROUTING_TIMING,
        )

    def connect(self, source: LinkNode, target: LinkNode) -> Link:
        """Return a link that is up."""
        near, far = LinkProtocol(source), LinkProtocol(target)
        target.accepted.add(far)
        far.closed.addCallback(lambda _: target.accepted.discard(far))
        self.links += connect_protocols(near, far)
        link = Link(source, target.name, connect=lambda factory: Deferred())
        link.protocol = near
        near.closed.addCallback(lambda _: setattr(link, "protocol", None))
        return link

    def handle_call(self, sender: str, body: Any) -> Deferred[Message]:
        """Keep a call pending until the test replies."""
        reply: Deferred[Message] = Deferred()
        self.calls.append(reply)
        return reply

    def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Acknowledge a deregistration; keep a command pending."""
        if request.method == b"DELETE":
            withdraw(self.context, "u1", 1)
            responder.send(200, [], b"{}")
            return

        self.commands.append(responder)

    def open_caller(self, data: bytes = b"") -> BufferedTransport:
        """Return a caller's connection on which ``data`` was received."""
        connection: Any = HttpConnection(self.service)
        transport = BufferedTransport(connection)
        connection.makeConnection(transport)
        if data:
            connection.dataReceived(data)

        return transport

    def start_call(self) -> list[Any]:
        """Call from the other control; return the list that receives the result."""
        results: list[Any] = []
        protocol: Any = self.peer_link.protocol
        reply = protocol.call(ReadRouting(), timeout=60.0)
        reply.addCallbacks(results.append, lambda one: results.append(one.value))
        deliver_bytes(*self.links)
        return results

    def stop(self) -> None:
        """Start the planned stop."""
        stopping.stop_registry(
            self.daemon, lambda: self.ended.append(self.clock.seconds())
        )

    def lead(self) -> dict[str, Any]:
        """Lead a group with two followers; return the progress of each."""
        names = ("127.0.0.2~1", "127.0.0.3~1")
        followers: dict[str, Any] = {
            name: SimpleNamespace(acknowledged_at=0.0) for name in names
        }
        replica = SimpleNamespace(
            progress=followers, membership=SimpleNamespace(voters=names)
        )
        store = SimpleNamespace(close=lambda: None)
        self.context.group = cast("Any", SimpleNamespace(replica=replica, store=store))
        return followers

    @contextmanager
    def patch_group(self) -> Iterator[mock.Mock]:
        """Make this process the leader; yield the mock of the leadership transfer."""
        with (
            mock.patch.object(stopping, "leader_of", lambda _: "127.0.0.1"),
            mock.patch.object(stopping, "leads", lambda *_: True),
            mock.patch.object(stopping, "run_flush"),
            mock.patch.object(stopping, "transfer_leadership") as transfer,
        ):
            yield transfer

    def run(self, seconds: float, *, drain: tuple[BufferedTransport, ...] = ()) -> None:
        """Advance the clock while the transports in ``drain`` send their bytes."""
        for _ in range(round(seconds / 0.05)):
            deliver_bytes(*drain)
            self.clock.advance(0.05)


COMMAND = b"PUT /-/config HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
DEREGISTRATION = b"DELETE /-/instances/u1 HTTP/1.1\r\nHost: a\r\n\r\n"


class StopTest(unittest.TestCase):
    """Responses in progress when the stop is requested."""

    def test_a_command_that_waits_for_its_commit(self) -> None:
        """An operator's command is read, then its registry is stopped for an upgrade.

        The command is committed a moment later by a leader elsewhere. If the registry
        ended at once, the operator would see a closed connection and could not tell
        whether the command is in force.
        """
        fixture = Fixture()
        caller = fixture.open_caller(COMMAND)
        fixture.stop()
        fixture.run(3.0, drain=(caller, *fixture.links))
        self.assertEqual(fixture.ended, [])
        fixture.commands[0].send(200, [], b"{}")
        fixture.run(0.5)
        self.assertEqual(fixture.ended, [])
        fixture.run(0.5, drain=(caller, *fixture.links))
        self.assertIn(b"HTTP/1.1 200", caller.sent)
        self.assertEqual(len(fixture.ended), 1)

    def test_a_command_forwarded_by_another_control(self) -> None:
        """A control forwards a command to the leader, which is being stopped.

        The leader commits it. If its reply were dropped with the link, the operator
        would get an error for a command that is in force.
        """
        fixture = Fixture()
        results = fixture.start_call()
        fixture.stop()
        fixture.run(3.0, drain=tuple(fixture.links))
        self.assertEqual(fixture.ended, [])
        fixture.calls[0].callback(Accepted())
        fixture.run(0.5)
        self.assertEqual(fixture.ended, [])
        fixture.run(0.5, drain=tuple(fixture.links))
        self.assertEqual(results, [Accepted()])
        self.assertEqual(len(fixture.ended), 1)

    def test_a_deregistration_that_was_acknowledged(self) -> None:
        """An upstream deregisters, and its registry is being stopped.

        The upstream has its acknowledgement, while the announcement for the other
        controls is still in a buffer. If it were lost, gateways would keep sending
        requests to an upstream that has gone.
        """
        fixture = Fixture()
        announce(fixture.context, make_announcement("u1"))
        deliver_bytes(*fixture.links)
        fixture.received.clear()
        caller = fixture.open_caller(DEREGISTRATION)
        caller.drain()
        fixture.stop()
        fixture.run(0.5, drain=(caller,))
        self.assertEqual(fixture.ended, [])
        fixture.run(0.5, drain=tuple(fixture.links))
        news = [body for body in fixture.received if isinstance(body, ShareNews)]
        self.assertEqual([one.news[0].state.value for one in news], ["gone"])
        self.assertEqual(len(fixture.ended), 1)

    def test_requests_during_the_stop(self) -> None:
        """A request during the stop gets a response that closes the connection."""
        fixture = Fixture()
        results = fixture.start_call()
        fixture.stop()
        fixture.run(0.5, drain=tuple(fixture.links))
        caller = fixture.open_caller(DEREGISTRATION)
        fixture.run(0.5, drain=(caller, *fixture.links))
        self.assertIn(b"HTTP/1.1 200", caller.sent)
        self.assertIn(b"Connection: close", caller.sent)
        fixture.calls[0].callback(Accepted())
        fixture.run(0.5, drain=(caller, *fixture.links))
        self.assertEqual(results, [Accepted()])
        self.assertTrue(fixture.port.closed)
        self.assertEqual(len(fixture.ended), 1)

    def test_a_request_that_crosses_the_stop(self) -> None:
        """A caller connected just before the stop; its request arrives during it."""
        fixture = Fixture()
        caller = fixture.open_caller()
        fixture.stop()
        caller.protocol.dataReceived(DEREGISTRATION)
        fixture.run(0.5, drain=(caller, *fixture.links))
        self.assertIn(b"HTTP/1.1 200", caller.sent)
        self.assertEqual(len(fixture.ended), 1)

    def test_nothing_in_progress(self) -> None:
        fixture = Fixture()
        idle = fixture.open_caller()
        fixture.stop()
        fixture.run(0.5, drain=(idle, *fixture.links))
        self.assertFalse(idle.connected)
        self.assertEqual(len(fixture.ended), 1)

    def test_an_unresponsive_successor(self) -> None:
        """The leader is stopped, and the member that it asks to lead freezes.

        Another one must be asked before the deadline. Otherwise the group has no leader
        until the election timeout of the others.
        """
        fixture = Fixture()
        followers = fixture.lead()
        with fixture.patch_group() as transfer:
            fixture.stop()
            fixture.run(0.5, drain=tuple(fixture.links))
            followers["127.0.0.3~1"].acknowledged_at = 0.4
            fixture.run(2.0, drain=tuple(fixture.links))

        asked = [call.args[1] for call in transfer.call_args_list]
        self.assertEqual(asked[0], "127.0.0.2")
        self.assertEqual(asked[-1], "127.0.0.3")
        self.assertEqual(len(fixture.ended), 1)
        self.assertGreaterEqual(fixture.ended[0], stopping.HANDOVER_SECONDS)

    def test_an_error_does_not_prevent_the_stop(self) -> None:
        fixture = Fixture()
        fixture.lead()
        with (
            fixture.patch_group() as transfer,
            mock.patch.object(events, "logger") as log,
        ):
            transfer.side_effect = RuntimeError("a fault")
            fixture.stop()
            fixture.run(3.0, drain=tuple(fixture.links))

        log.opt.return_value.error.assert_called()
        self.assertEqual(len(fixture.ended), 1)

    def test_responses_that_can_not_be_sent_are_counted(self) -> None:
        """Callers that read nothing must not delay the process until it is killed.

        The log gives the number of truncated responses, so that their cause can be
        found.
        """
        for name, commands, calls in (
            ("command", 1, 0),
            ("call", 0, 1),
            ("both", 2, 1),
        ):
            with self.subTest(name), mock.patch.object(stopping, "log_event") as log:
                fixture = Fixture()
                for _ in range(commands):
                    fixture.open_caller(COMMAND)

                for _ in range(calls):
                    fixture.start_call()

                fixture.stop()
                fixture.run(fixture.context.settings.grace, drain=tuple(fixture.links))
                limit = fixture.context.settings.grace - stopping.STOP_MARGIN
                self.assertEqual(len(fixture.ended), 1)
                self.assertLessEqual(fixture.ended[0], limit + stopping.POLL_SECONDS)
                last = log.call_args_list[-1]
                self.assertEqual(last.args, ("registry: Stopped",))
                self.assertEqual(last.kwargs["answers"], commands)
                self.assertEqual(last.kwargs["calls"], calls)
