"""The planned stop of a registry: what it has read gets its answer."""

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
from tests.adapters.transports import carry
from tests.adapters.transports import join
from tests.routing.factories import make_news
from waxwingwell.adapters import events
from waxwingwell.adapters.http.records import HttpLimits
from waxwingwell.adapters.http.records import HttpRequest
from waxwingwell.adapters.http.server import HttpConnection
from waxwingwell.adapters.http.server import HttpService
from waxwingwell.adapters.http.server import Responder
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
from waxwingwell.adapters.registry.hub import take_cast
from waxwingwell.routing.messages import Accepted
from waxwingwell.routing.messages import ReadRouting
from waxwingwell.routing.messages import ShareNews

from .support import make_registry


if TYPE_CHECKING:
    from collections.abc import Iterator

    from waxwingwell.messages import Message


class Port:
    """Stands for a listening port."""

    closed = False

    def stopListening(self) -> None:  # noqa: N802
        """Note that nobody can connect any more."""
        self.closed = True


class Stage:
    """A registry, another control linked to it both ways, and callers.

    Calls of the control and orders of callers wait until the test answers them; a leave
    is acknowledged at once. Bytes leave when the test lets them.
    """

    def __init__(self) -> None:
        registry = make_registry()
        self.context, self.clock = registry.context, registry.clock
        self.calls: list[Deferred[Message]] = []
        self.orders: list[Responder] = []
        self.told: list[Any] = []
        self.ended: list[float] = []
        self.links: list[BufferedTransport] = []
        node = self.make_node("127.0.0.1", partial(take_cast, self.context))
        self.context.node = node
        peer = self.make_node("127.0.0.2", lambda _, body: self.told.append(body))
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
        carry(*self.links)

    def make_node(self, name: str, take: Any) -> LinkNode:
        """Return what the links of one process share."""
        return LinkNode(
            name=name,
            reactor=self.clock,
            handlers=LinkHandlers(
                take_call=self.take_call, take_cast=take, body_type=RegistryBody
            ),
            timing=ROUTING_TIMING,
        )

    def connect(self, source: LinkNode, target: LinkNode) -> Link:
        """Return a link that is up."""
        near, far = LinkProtocol(source), LinkProtocol(target)
        target.accepted.add(far)
        far.closed.addCallback(lambda _: target.accepted.discard(far))
        self.links += join(near, far)
        link = Link(source, target.name, connect=lambda factory: Deferred())
        link.protocol = near
        near.closed.addCallback(lambda _: setattr(link, "protocol", None))
        return link

    def take_call(self, sender: str, body: Any) -> Deferred[Message]:
        """Keep a call until the test answers it."""
        answer: Deferred[Message] = Deferred()
        self.calls.append(answer)
        return answer

    def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Acknowledge a leave, keep an order."""
        if request.method == b"DELETE":
            withdraw(self.context, "u1", 1)
            responder.send(200, [], b"{}")
            return

        self.orders.append(responder)

    def open_caller(self, data: bytes = b"") -> BufferedTransport:
        """Return a caller's connection that has sent something."""
        connection: Any = HttpConnection(self.service)
        transport = BufferedTransport(connection)
        connection.makeConnection(transport)
        if data:
            connection.dataReceived(data)

        return transport

    def ask(self) -> list[Any]:
        """Let the other control call; return the list that takes the result."""
        results: list[Any] = []
        protocol: Any = self.peer_link.protocol
        answer = protocol.call(ReadRouting(), timeout=60.0)
        answer.addCallbacks(results.append, lambda one: results.append(one.value))
        carry(*self.links)
        return results

    def stop(self) -> None:
        """Send the order to stop."""
        stopping.stop_registry(
            self.daemon, lambda: self.ended.append(self.clock.seconds())
        )

    def lead(self) -> dict[str, Any]:
        """Lead a group of two others; return what is known of each."""
        names = ("127.0.0.2~1", "127.0.0.3~1")
        known: dict[str, Any] = {
            name: SimpleNamespace(acknowledged_at=0.0) for name in names
        }
        replica = SimpleNamespace(
            progress=known, membership=SimpleNamespace(voters=names)
        )
        store = SimpleNamespace(close=lambda: None)
        self.context.group = cast("Any", SimpleNamespace(replica=replica, store=store))
        return known

    @contextmanager
    def patch_group(self) -> Iterator[mock.Mock]:
        """Let this process lead for good; yield what asks others to."""
        with (
            mock.patch.object(stopping, "leader_of", lambda _: "127.0.0.1"),
            mock.patch.object(stopping, "leads", lambda *_: True),
            mock.patch.object(stopping, "run_flush"),
            mock.patch.object(stopping, "transfer_leadership") as transfer,
        ):
            yield transfer

    def run(self, seconds: float, *, drain: tuple[BufferedTransport, ...] = ()) -> None:
        """Let time pass; the bytes on ``drain`` leave meanwhile."""
        for _ in range(round(seconds / 0.05)):
            carry(*drain)
            self.clock.advance(0.05)


ORDER = b"PUT /-/config HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
LEAVE = b"DELETE /-/instances/u1 HTTP/1.1\r\nHost: a\r\n\r\n"


class StopTest(unittest.TestCase):
    """Answers under way when the order to stop comes."""

    def test_an_order_that_waits_for_its_commit(self) -> None:
        """An operator's order is read, then its registry is stopped for an upgrade.

        The order is carried out a moment later, by a leader that is elsewhere. Ended
        at once, the registry leaves the operator with a closed connection, who can't
        tell whether the order is in force.
        """
        stage = Stage()
        caller = stage.open_caller(ORDER)
        stage.stop()
        stage.run(3.0, drain=(caller, *stage.links))
        self.assertEqual(stage.ended, [])
        stage.orders[0].send(200, [], b"{}")
        stage.run(0.5)
        self.assertEqual(stage.ended, [])
        stage.run(0.5, drain=(caller, *stage.links))
        self.assertIn(b"HTTP/1.1 200", caller.sent)
        self.assertEqual(len(stage.ended), 1)

    def test_an_order_that_another_control_has_passed_on(self) -> None:
        """A control passes an order on to the leader, which is told to stop.

        The leader commits it. If its answer is dropped with the link, the operator
        hears from the control that the order failed, and it is in force.
        """
        stage = Stage()
        results = stage.ask()
        stage.stop()
        stage.run(3.0, drain=tuple(stage.links))
        self.assertEqual(stage.ended, [])
        stage.calls[0].callback(Accepted())
        stage.run(0.5)
        self.assertEqual(stage.ended, [])
        stage.run(0.5, drain=tuple(stage.links))
        self.assertEqual(results, [Accepted()])
        self.assertEqual(len(stage.ended), 1)

    def test_a_leave_that_was_acknowledged(self) -> None:
        """An upstream says that it leaves, and its registry is told to stop.

        The upstream has its acknowledgement, the news for the other controls is still
        in a buffer. Lost there, gateways would go on sending requests to an upstream
        that has gone.
        """
        stage = Stage()
        announce(stage.context, make_news("u1"))
        carry(*stage.links)
        stage.told.clear()
        caller = stage.open_caller(LEAVE)
        caller.drain()
        stage.stop()
        stage.run(0.5, drain=(caller,))
        self.assertEqual(stage.ended, [])
        stage.run(0.5, drain=tuple(stage.links))
        news = [body for body in stage.told if isinstance(body, ShareNews)]
        self.assertEqual([one.news[0].state.value for one in news], ["gone"])
        self.assertEqual(len(stage.ended), 1)

    def test_requests_during_the_stop(self) -> None:
        """A caller has not noticed the stop: it is answered, and told to go away."""
        stage = Stage()
        results = stage.ask()
        stage.stop()
        stage.run(0.5, drain=tuple(stage.links))
        caller = stage.open_caller(LEAVE)
        stage.run(0.5, drain=(caller, *stage.links))
        self.assertIn(b"HTTP/1.1 200", caller.sent)
        self.assertIn(b"Connection: close", caller.sent)
        stage.calls[0].callback(Accepted())
        stage.run(0.5, drain=(caller, *stage.links))
        self.assertEqual(results, [Accepted()])
        self.assertTrue(stage.port.closed)
        self.assertEqual(len(stage.ended), 1)

    def test_a_request_that_crosses_the_stop(self) -> None:
        """A caller has connected just before; its request comes a moment later."""
        stage = Stage()
        caller = stage.open_caller()
        stage.stop()
        caller.protocol.dataReceived(LEAVE)
        stage.run(0.5, drain=(caller, *stage.links))
        self.assertIn(b"HTTP/1.1 200", caller.sent)
        self.assertEqual(len(stage.ended), 1)

    def test_nothing_under_way(self) -> None:
        stage = Stage()
        idle = stage.open_caller()
        stage.stop()
        stage.run(0.5, drain=(idle, *stage.links))
        self.assertFalse(idle.connected)
        self.assertEqual(len(stage.ended), 1)

    def test_a_successor_that_does_not_answer(self) -> None:
        """The leader is stopped as the member that it asks to lead freezes.

        Another one must be asked while there is time: else the group has no leader
        until the others have missed this one.
        """
        stage = Stage()
        known = stage.lead()
        with stage.patch_group() as transfer:
            stage.stop()
            stage.run(0.5, drain=tuple(stage.links))
            known["127.0.0.3~1"].acknowledged_at = 0.4
            stage.run(2.0, drain=tuple(stage.links))

        asked = [call.args[1] for call in transfer.call_args_list]
        self.assertEqual(asked[0], "127.0.0.2")
        self.assertEqual(asked[-1], "127.0.0.3")
        self.assertEqual(len(stage.ended), 1)
        self.assertGreaterEqual(stage.ended[0], stopping.HANDOVER_SECONDS)

    def test_a_fault_does_not_keep_the_process_from_ending(self) -> None:
        stage = Stage()
        stage.lead()
        with (
            stage.patch_group() as transfer,
            mock.patch.object(events, "logger") as log,
        ):
            transfer.side_effect = RuntimeError("a fault")
            stage.stop()
            stage.run(3.0, drain=tuple(stage.links))

        log.opt.return_value.error.assert_called()
        self.assertEqual(len(stage.ended), 1)

    def test_answers_that_never_leave_are_counted(self) -> None:
        """Callers that read nothing: the process must end before it is killed.

        Whoever looks for the cause of a cut answer finds in the log how many there
        were.
        """
        for name, orders, calls in (("order", 1, 0), ("call", 0, 1), ("both", 2, 1)):
            with self.subTest(name), mock.patch.object(stopping, "log_event") as log:
                stage = Stage()
                for _ in range(orders):
                    stage.open_caller(ORDER)

                for _ in range(calls):
                    stage.ask()

                stage.stop()
                stage.run(stage.context.settings.grace, drain=tuple(stage.links))
                limit = stage.context.settings.grace - stopping.STOP_MARGIN
                self.assertEqual(len(stage.ended), 1)
                self.assertLessEqual(stage.ended[0], limit + stopping.POLL_SECONDS)
                last = log.call_args_list[-1]
                self.assertEqual(last.args, ("registry: Stopped",))
                self.assertEqual(last.kwargs["answers"], orders)
                self.assertEqual(last.kwargs["calls"], calls)
