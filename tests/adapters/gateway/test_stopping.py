"""What becomes of answers under way when a gateway stops as planned."""

from __future__ import annotations

import unittest
from functools import partial
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from tests.adapters.http.test_server import make_request
from waxwingwell.adapters.gateway.daemon import GatewayDaemon
from waxwingwell.adapters.gateway.stopping import BALANCER_SECONDS
from waxwingwell.adapters.gateway.stopping import CLOSE_SECONDS
from waxwingwell.adapters.gateway.stopping import LOOK_SECONDS
from waxwingwell.adapters.gateway.stopping import STOP_MARGIN
from waxwingwell.adapters.gateway.stopping import stop_gateway
from waxwingwell.routing.records import RouteKind

from .support import LAST_CHUNK
from .support import Caller
from .support import Gateway
from .support import make_answer
from .support import make_chunk
from .support import make_gateway
from .support import make_settings
from .support import make_stream_head
from .support import note_lines


REQUEST_ENDED = "gateway: Request ended"
STREAM = make_stream_head() + make_chunk(b"id: 1\ndata: a\n\n") + LAST_CHUNK
WHOLE = make_answer(b"all of it")


class Stop:
    """A gateway that is told to stop, and whether it has ended."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.ended = False
        loop = LoopingCall(lambda: None)
        loop.clock = gateway.reactor
        loop.start(60.0, now=False)
        self.daemon = GatewayDaemon(
            context=gateway.context,
            service=gateway.service,
            health=gateway.service,
            ports=[],
            loop=loop,
        )

    def begin(self, told_at: float | None = None) -> None:
        """Tell the gateway to stop."""
        stop_gateway(self.daemon, self._note_end, told_at)

    def _note_end(self) -> None:
        self.ended = True

    def wait(self, seconds: float) -> None:
        """Let the time pass in which the gateway looks a few times."""
        for _ in range(round(seconds / LOOK_SECONDS)):
            self.gateway.reactor.advance(LOOK_SECONDS)


class Port:
    """A listening port, which closes when the test says so."""

    def __init__(self) -> None:
        self.closing: Deferred[None] = Deferred()
        self.told = False

    def stopListening(self) -> Deferred[None]:  # noqa: N802
        """Begin to close."""
        self.told = True
        return self.closing


def ask_and_hold(gateway: Gateway) -> tuple[Caller, Any]:
    """Send a request of a caller that reads nothing for now."""
    caller = gateway.ask()
    upstream = gateway.upstreams[-1]
    upstream.accept()
    caller.transport.held = True
    return caller, upstream


class LastBytesTest(unittest.TestCase):
    """Answers that the upstream has ended and the caller has not got whole.

    A stream ended in the middle as its gateway stopped. That waited for requests, which
    end when their last bytes are handed to the transport: they leave in the reactor's
    next turn or later, and are dropped when it stops. Evidence: for 8 of 8 such streams
    the log said "answered" and, 0.2 to 0.4 ms later, that the gateway had stopped.
    """

    def test_the_gateway_ends_after_the_last_byte_has_left(self) -> None:
        for kind, answer in ((RouteKind.STREAM, STREAM), (RouteKind.ONCE, WHOLE)):
            for signalled in ("before the answer", "after the answer"):
                with self.subTest(kind=kind, signalled=signalled):
                    gateway = make_gateway(kind=kind)
                    stop = Stop(gateway)
                    caller, upstream = ask_and_hold(gateway)
                    if signalled == "before the answer":
                        stop.begin()
                        stop.wait(BALANCER_SECONDS)
                        upstream.answer(answer)
                    else:
                        upstream.answer(answer)
                        stop.begin()
                        stop.wait(BALANCER_SECONDS)

                    self.assertEqual(gateway.context.exchanges, set())
                    stop.wait(0.5)
                    self.assertFalse(stop.ended)
                    caller.transport.release()
                    stop.wait(0.2)
                    self.assertTrue(stop.ended)
                    self.assertTrue(caller.received.endswith(answer[-5:]))

    def test_the_gateway_waits_for_callers_to_close(self) -> None:
        """A caller that sent its next request ahead of a long answer's end.

        The kernel held that end, and the process ended: the kernel found bytes that
        nobody would read, reset the connection and dropped what it held.
        """
        for closes in (True, False):
            with self.subTest(closes=closes):
                gateway = make_gateway()
                stop = Stop(gateway)
                caller = gateway.ask()
                caller.transport.stays = True
                upstream = gateway.upstreams[-1]
                upstream.accept()
                stop.begin()
                stop.wait(BALANCER_SECONDS)
                upstream.answer(STREAM)
                stop.wait(CLOSE_SECONDS / 2)
                self.assertFalse(stop.ended)
                if closes:
                    caller.leave()
                    stop.wait(2 * LOOK_SECONDS)
                else:
                    stop.wait(CLOSE_SECONDS)

                self.assertTrue(stop.ended)

    def test_a_caller_that_never_reads_holds_the_stop_up_to_its_limit(self) -> None:
        gateway = make_gateway()
        stop = Stop(gateway)
        _, upstream = ask_and_hold(gateway)
        upstream.answer(WHOLE)
        stop.begin()
        limit = gateway.context.settings.grace - STOP_MARGIN
        stop.wait(limit - 0.2)
        self.assertFalse(stop.ended)
        stop.wait(STOP_MARGIN)
        self.assertTrue(stop.ended)


class StrayBytesTest(unittest.TestCase):
    """Bytes on a kept connection that are no whole request.

    Nothing was asked by them, yet a stop waited for the rest up to its limit.
    """

    def test_they_hold_no_stop_up(self) -> None:
        for data in (b"", b"\r", b"G", b"GET /x HTTP/1.1\r\nHo"):
            with self.subTest(data=data):
                gateway = make_gateway("u1", kind=RouteKind.ONCE)
                stop = Stop(gateway)
                caller = gateway.ask()
                upstream = gateway.upstreams[-1]
                upstream.accept()
                upstream.answer(WHOLE)
                if data:
                    caller.send(data)

                stop.begin()
                stop.wait(BALANCER_SECONDS + 2 * LOOK_SECONDS)
                self.assertTrue(stop.ended)


class LimitTest(unittest.TestCase):
    """Requests that are still under way when a stopping process has to end.

    Their callers saw the connection close without a word, and the log said that they
    had left: the reactor's stop looks like a caller's leave. They can be told what is
    known, as at a deadline: whether the request may have run.
    """

    def test_callers_hear_what_is_known(self) -> None:
        for sent, status, outcome in (
            (False, 503, "refused"),
            (True, 504, "may_have_run"),
        ):
            with self.subTest(sent=sent):
                gateway = make_gateway("u1", kind=RouteKind.ONCE)
                stop = Stop(gateway)
                caller = gateway.ask()
                if sent:
                    gateway.upstreams[-1].accept()

                stop.begin()
                found = note_lines(partial(stop.wait, gateway.context.settings.grace))
                self.assertTrue(stop.ended)
                self.assertEqual(caller.status, status)
                ends = [one for one in found if one["message"] == REQUEST_ENDED]
                self.assertEqual([one["extra"]["outcome"] for one in ends], [outcome])
                self.assertEqual(
                    ends[0]["extra"]["reason"], "gateway process is exiting"
                )

    def test_requests_without_a_configuration_are_refused(self) -> None:
        """Guards against a process that ends with requests in its waiting room."""
        gateway = make_gateway("u1")
        gateway.context.settings = make_settings(grace=STOP_MARGIN + 1.0)
        gateway.context.index = None
        stop = Stop(gateway)
        caller = gateway.ask()
        self.assertEqual(caller.status, 0)
        stop.begin()
        stop.wait(1.0 + STOP_MARGIN)
        self.assertTrue(stop.ended)
        self.assertEqual(caller.status, 503)
        self.assertIn(b"Retry-After", caller.received)

    def test_the_time_counts_from_the_signal(self) -> None:
        """Guards against a stop, asked for during a slow start, that is cut by a kill.

        The process took its whole time from the end of its start on.
        """
        gateway = make_gateway("u1", kind=RouteKind.ONCE)
        stop = Stop(gateway)
        caller = gateway.ask()
        late = 5.0
        gateway.reactor.advance(late)
        stop.begin(told_at=0.0)
        stop.wait(gateway.context.settings.grace - STOP_MARGIN - late + LOOK_SECONDS)
        self.assertTrue(stop.ended)
        self.assertEqual(caller.status, 503)

    def test_a_fault_with_one_caller_is_none_of_the_others(self) -> None:
        """An error of ours in the end of one request.

        The others were told nothing, and the process was never done with stopping: it
        stood until it was killed.
        """
        gateway = make_gateway("u1", kind=RouteKind.ONCE)
        stop = Stop(gateway)
        callers = [gateway.ask(), gateway.ask(X_Id="q2")]
        for exchange in list(gateway.context.exchanges):
            if exchange.facts.request_id == "q1":
                exchange.stop_attempt = None

        stop.begin()
        stop.wait(gateway.context.settings.grace)
        self.assertTrue(stop.ended)
        self.assertEqual([caller.status for caller in callers], [0, 503])

    def test_nothing_is_begun_at_the_limit(self) -> None:
        """Requests that came in the last look of a stop.

        They were refused, and the process ended before the refusals had left. A caller
        that has connected hears that it may go elsewhere.
        """
        gateway = make_gateway("u1", kind=RouteKind.ONCE)
        stop = Stop(gateway)
        port = Port()
        stop.daemon.ports.append(port)
        gateway.ask().transport.stays = True
        stop.begin()
        stop.wait(gateway.context.settings.grace - STOP_MARGIN - LOOK_SECONDS)
        self.assertFalse(port.told)
        late = gateway.open_caller()
        stop.wait(2 * LOOK_SECONDS)
        self.assertFalse(stop.ended)
        port.closing.callback(None)
        late.send(make_request("/chat/x", b"hi", "X-Key: k1"))
        self.assertEqual(late.status, 503)
        self.assertIn(b"Retry-After", late.received)
        self.assertEqual(len(gateway.upstreams), 1)
        self.assertFalse(stop.ended)

    def test_the_ports_are_closed_first(self) -> None:
        """A caller that connects as the process ends.

        The kernel took its connection for a port that was still to be closed, and reset
        it. Refused by a closed port, it would know that its order was not read.
        """
        gateway = make_gateway()
        stop = Stop(gateway)
        port = Port()
        stop.daemon.ports.append(port)
        stop.begin()
        stop.wait(BALANCER_SECONDS + 2 * LOOK_SECONDS)
        self.assertFalse(stop.ended)
        port.closing.callback(None)
        self.assertTrue(stop.ended)

    def test_a_stream_looks_broken(self) -> None:
        gateway = make_gateway("u1")
        stop = Stop(gateway)
        caller = gateway.ask()
        upstream = gateway.upstreams[-1]
        upstream.accept()
        upstream.answer(make_stream_head() + make_chunk(b"id: 1\ndata: a\n\n"))
        stop.begin()
        stop.wait(gateway.context.settings.grace)
        self.assertTrue(stop.ended)
        self.assertTrue(caller.transport.aborted)
        self.assertFalse(caller.received.endswith(LAST_CHUNK))
