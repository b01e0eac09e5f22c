"""The planned stop of controls and entries: what was read is answered, and arrives."""

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
from tests.adapters.transports import carry
from tests.adapters.transports import join
from waxwingwell.adapters import endings
from waxwingwell.adapters.bodies import Body
from waxwingwell.adapters.control import daemon as control
from waxwingwell.adapters.control.admin import guard
from waxwingwell.adapters.counting import CountingSite
from waxwingwell.adapters.entry import daemon as entry
from waxwingwell.adapters.entry.upkeep import Upkeep
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
ASK = b"GET / HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key\r\n\r\n"


class Port:
    """Stands for a listening port of a site."""

    def __init__(self, site: Any = None) -> None:
        self.factory = site

    def stopListening(self) -> None:  # noqa: N802
        """Do nothing."""


class Stage:
    """A process with an HTTP site and a link that another process has opened.

    Requests and calls wait until the test answers them; bytes leave when it lets them.
    """

    def __init__(self) -> None:
        self.clock = Clock()
        self.requests: list[Deferred[bytes]] = []
        self.calls: list[Deferred[Message]] = []
        self.told: list[Any] = []
        self.node = self.make_node("near")
        self.peer = LinkProtocol(self.make_node("far"))
        self.protocol = LinkProtocol(self.node)
        self.node.accepted.add(self.protocol)
        self.protocol.closed.addCallback(lambda _: self.node.accepted.clear())
        self.link = join(self.protocol, self.peer)
        key = OperatorKey(name="operator", digest=hash_key(KEY))
        self.context: Any = SimpleNamespace(
            settings=SimpleNamespace(node="near", operators=(key,)),
            reactor=self.clock,
            clock=self.clock.seconds,
            answering=0,
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
        carry(*self.link)

    def make_node(self, name: str) -> LinkNode:
        """Return what the links of one process share."""
        return LinkNode(
            name=name,
            reactor=self.clock,
            handlers=LinkHandlers(
                take_call=self.take_call,
                take_cast=lambda sender, body: self.told.append(body),
                body_type=Body,
            ),
            timing=LinkTiming(),
        )

    def make_site(self) -> CountingSite:
        """Return a site that answers known operators when the test says so."""
        app = Klein()

        async def wait(request: Any, operator: OperatorKey) -> bytes:
            answer: Deferred[bytes] = Deferred()
            self.requests.append(answer)
            return await answer

        app.route("/")(guard(self.context)(wait))
        return CountingSite(app.resource(), reactor=self.clock)

    def take_call(self, sender: str, body: Any) -> Deferred[Message]:
        """Keep a call until the test answers it."""
        answer: Deferred[Message] = Deferred()
        self.calls.append(answer)
        return answer

    async def close_client(self) -> None:
        """Do nothing."""

    def open_caller(self) -> BufferedTransport:
        """Return the connection of a caller that has asked something."""
        channel: Any = self.site.buildProtocol(None)
        transport = BufferedTransport(channel)
        channel.makeConnection(transport)
        channel.dataReceived(ASK)
        return transport

    def call(self) -> list[Any]:
        """Let the other process call; return the list that takes the result."""
        results: list[Any] = []
        answer = self.peer.call(AskInForce(config_version=1), timeout=60.0)
        answer.addCallbacks(results.append, lambda one: results.append(one.value))
        carry(*self.link)
        return results

    def stop_control(self) -> Deferred[None]:
        """Stop as a control does."""
        daemon = control.ControlDaemon(
            context=self.context,
            node=self.node,
            link_port=Port(),
            admin_port=Port(self.site),
            loop=LoopingCall(lambda: None),
        )
        return run(control.stop_control(daemon))

    def close_entry(self) -> Deferred[None]:
        """Close as an entry does once its callers are gone."""
        daemon = entry.EntryDaemon(
            context=self.context,
            node=self.node,
            upkeep=Upkeep(),
            placements=cast("Any", None),
            caller_port=Port(),
            upstream_port=Port(self.site),
            link_port=Port(),
            loops=[],
        )
        return run(entry.close_entry(daemon))

    def run(self, seconds: float, *drain: BufferedTransport) -> None:
        """Let time pass; the bytes on ``drain`` leave meanwhile."""
        for _ in range(round(seconds / 0.05)):
            carry(*drain)
            self.clock.advance(0.05)


def run(stop: Coroutine[Any, Any, None]) -> Deferred[None]:
    """Start a stop; an error of it fails the test where its result is read."""
    return Deferred.fromCoroutine(stop)


class ControlTest(unittest.TestCase):
    """A control is stopped for an upgrade."""

    def test_an_order_of_an_operator(self) -> None:
        """An operator's change is with the next leader, which accepts it.

        Ended at once, the control would close the connection, and the operator would
        have to find out whether the change is in force.
        """
        stage = Stage()
        caller = stage.open_caller()
        stopped = stage.stop_control()
        stage.run(1.0, caller, *stage.link)
        self.assertFalse(stopped.called)
        stage.requests[0].callback(b"accepted")
        stage.run(0.5, *stage.link)
        self.assertFalse(stopped.called)
        stage.run(0.5, caller)
        self.assertTrue(stopped.called)
        self.assertTrue(caller.sent.endswith(b"accepted\r\n0\r\n\r\n"))
        self.assertEqual(stage.context.answering, 0)

    def test_a_call_of_an_entry(self) -> None:
        """An entry settles a request; the control commits it and is stopped.

        Without the answer the entry can't tell, and its caller waits for the next try.
        """
        stage = Stage()
        results = stage.call()
        stopped = stage.stop_control()
        stage.run(1.0, *stage.link)
        self.assertFalse(stopped.called)
        stage.calls[0].callback(InForce(in_force=True))
        stage.run(0.5)
        self.assertFalse(stopped.called)
        stage.run(0.5, *stage.link)
        self.assertTrue(stopped.called)
        self.assertEqual(results, [InForce(in_force=True)])

    def test_answers_that_never_come_do_not_hold_it_up(self) -> None:
        stage = Stage()
        stage.open_caller()
        stage.call()
        stopped = stage.stop_control()
        stage.run(control.ANSWER_LIMIT + 2 * endings.CLOSE_LIMIT + 0.1)
        self.assertTrue(stopped.called)


class EntryTest(unittest.TestCase):
    """An entry closes, once its callers have their answers."""

    def test_bytes_on_a_link(self) -> None:
        """An entry has told another one of a leaving upstream, and ends.

        Lost in the buffer, the other entry would go on sending it work.
        """
        stage = Stage()
        stage.protocol.cast(Drain())
        closed = stage.close_entry()
        stage.run(0.5)
        self.assertFalse(closed.called)
        stage.run(0.5, *stage.link)
        self.assertTrue(closed.called)
        self.assertEqual(stage.told, [Drain()])

    def test_the_answer_to_an_upstream(self) -> None:
        """An upstream's leave was taken, its acknowledgement waits in a buffer."""
        stage = Stage()
        upstream = stage.open_caller()
        stage.requests[0].callback(b"taken")
        closed = stage.close_entry()
        stage.run(0.5, *stage.link)
        self.assertFalse(closed.called)
        stage.run(0.5, upstream)
        self.assertTrue(closed.called)
        self.assertTrue(upstream.sent.endswith(b"taken\r\n0\r\n\r\n"))
