"""Callers that read slowly, or not at all."""

from __future__ import annotations

import unittest
from functools import partial
from typing import Any

from waxwingwell.adapters.gateway.flow import UNREAD_SECONDS
from waxwingwell.adapters.gateway.stopping import STOP_MARGIN
from waxwingwell.adapters.http.connection import MAX_UNPARSED_BYTES
from waxwingwell.adapters.http.output import HIGH_WATER_BYTES
from waxwingwell.adapters.http.records import HttpLimits
from waxwingwell.routing.records import RouteKind
from waxwingwell.routing.retries import RetryLimits
from waxwingwell.routing.tallies import RolloutTally

from .byte_plays import PIECE_BYTES
from .byte_plays import TOTAL_BYTES
from .byte_plays import fill_chunk
from .byte_plays import is_paused
from .byte_plays import measure_peak
from .byte_plays import play
from .paths import make_sole_gateway
from .support import LAST_CHUNK
from .support import Caller
from .support import Gateway
from .support import Upstream
from .support import capture_log
from .support import make_chunk
from .support import make_gateway
from .support import make_response
from .support import make_settings
from .support import make_stream_head
from .test_relaying import Relayed
from .test_relaying import cut_off
from .test_relaying import make_fleet
from .test_relaying import open_relayed
from .test_stopping import Shutdown


MIB = 1024 * 1024
EVENT_BYTES = 3_000
"""Bytes of an event: 20 a second are 60 KB/s."""
IDLE_SECONDS = HttpLimits().idle_timeout


def make_event(number: int) -> bytes:
    """Return a chunk with one event."""
    head = f"id: {number}\ndata: ".encode()
    return make_chunk(head.ljust(EVENT_BYTES - 2, b"y") + b"\n\n")


def open_stream(gateway: Gateway, **headers: str) -> tuple[Caller, Upstream]:
    """Request a stream from a caller that does not read."""
    caller = gateway.ask(X_Budget="60", **headers)
    caller.transport.held = True
    upstream = gateway.calls[-1]
    upstream.accept()
    upstream.respond(make_stream_head())
    return caller, upstream


def send_events(upstream: Upstream, first: int, last: int) -> int:
    """Send events while they are read; return the number of the next one."""
    number = first
    while number <= last and not is_paused(upstream):
        upstream.respond(make_event(number))
        number += 1

    return number


def fill_up(upstream: Upstream) -> int:
    """Send events until the gateway stops reading; return the number of the next."""
    return send_events(upstream, 1, 1_000)


def list_ids(caller: Caller) -> list[int]:
    """Return the ids of the events that a caller has received, in order."""
    lines = caller.received.split(b"\n")
    return [int(line[4:]) for line in lines if line.startswith(b"id: ")]


def find_outcome(records: list[Any]) -> Any:
    """Return the fields of the line of the request's end."""
    [line] = [one for one in records if one["message"] == "gateway: Request ended"]
    return line["extra"]


def wait_twice(gateway: Gateway, caller: Caller, reads: bool) -> None:
    """Wait for longer than the idle time-out; the caller may read a chunk meanwhile."""
    for _ in range(2):
        gateway.reactor.advance(0.6 * IDLE_SECONDS)
        if reads:
            caller.transport.flush()


def list_evidence(gateway: Gateway) -> list[object]:
    """Return what a gateway holds against upstreams, prompts and requests."""
    context = gateway.context
    return [
        context.breaks,
        context.broken,
        context.quarantine.blocks,
        [one for one in context.health.upstreams.values() if one.failures],
        gateway.checks,
    ]


class PauseTest(unittest.TestCase):
    """A caller that does not read while its upstream sends."""

    def test_the_upstream_is_not_read_until_the_caller_reads(self) -> None:
        """Guards against 27 MiB held for one caller, and against lost events."""
        gateway = make_gateway("u1")
        caller, upstream = open_stream(gateway)
        number = fill_up(upstream)
        held = gateway.context.held.total
        self.assertGreater(held, HIGH_WATER_BYTES)
        self.assertLess(held, HIGH_WATER_BYTES + 2 * PIECE_BYTES)
        while number <= 400:
            for _ in range(4):
                caller.transport.flush()

            self.assertFalse(is_paused(upstream))
            number = send_events(upstream, number, 400)

        upstream.respond(LAST_CHUNK)
        caller.transport.release()
        self.assertEqual(list_ids(caller), list(range(1, 401)))
        self.assertTrue(caller.received.endswith(LAST_CHUNK))
        self.assertEqual(gateway.context.held.total, 0)

    def test_a_stream_of_24_mib_is_paused(self) -> None:
        """Guards against memory that grows with what an upstream sends."""
        piece = fill_chunk(b"data: " + b"y" * 56 + b"\n\n")
        outcome = measure_peak(
            lambda: play(RouteKind.STREAM, make_stream_head(), piece, reads=False)
        )
        self.assertTrue(outcome.paused)
        self.assertLess(outcome.pieces * PIECE_BYTES, TOTAL_BYTES / 10)
        self.assertLess(outcome.peak, MIB)

    def test_200_streams_hold_a_constant(self) -> None:
        """Guards against memory that grows while callers do not read.

        Each stream has 60 KB/s for 20 seconds, 240 MB in all.
        """
        gateway = make_gateway("u1", "u2", "u3", timeout=60.0)
        streams = [open_stream(gateway, X_Id="q1") for _ in range(200)]
        held = []
        for second in range(20):
            gateway.reactor.advance(1.0)
            for _, upstream in streams:
                send_events(upstream, 20 * second + 1, 20 * second + 20)

            held.append(gateway.context.held.total)

        self.assertTrue(all(is_paused(upstream) for _, upstream in streams))
        self.assertEqual(set(held[5:]), {held[-1]})
        self.assertLess(held[-1], 200 * (HIGH_WATER_BYTES + PIECE_BYTES))
        for caller, _ in streams:
            caller.leave()

        self.assertEqual(gateway.context.held.total, 0)

    def test_a_caller_that_reads_nothing_ends_its_request(self) -> None:
        """Guards against requests that are kept up for callers that are gone."""
        for reads in (False, True):
            with self.subTest(reads=reads):
                gateway = make_gateway("u1", timeout=60.0)
                caller, upstream = open_stream(gateway)

                fill_up(upstream)
                records = capture_log(partial(wait_twice, gateway, caller, reads))
                self.assertIs(caller.transport.aborted, not reads)
                if reads:
                    continue

                self.assertTrue(upstream.transport.aborted)
                line = find_outcome(records)
                self.assertEqual(line["outcome"], "caller_left")
                self.assertEqual(line["reason"], "caller read nothing for 30 s")
                self.assertEqual(line["unread"], 1)

    def test_the_log_names_the_first_pause_only(self) -> None:
        """Guards against a log line for each pause of a slow caller."""
        gateway = make_gateway("u1")

        def run() -> None:
            caller, upstream = open_stream(gateway)
            number = 1
            while number < 500:
                number = send_events(upstream, number, 500)
                for _ in range(4):
                    caller.transport.flush()

            upstream.respond(LAST_CHUNK)

        records = capture_log(run)
        texts = [one["message"] for one in records]
        self.assertEqual(texts.count("gateway: Caller reads slowly"), 1)
        self.assertGreater(find_outcome(records)["unread"], 3)

    def test_pipelined_requests_wait_for_the_reader(self) -> None:
        """Guards against responses without a bound to a caller that only sends.

        What it sends behind a request that waits is not read without a bound either.
        """
        gateway = make_gateway("u1", kind=RouteKind.IDEMPOTENT)
        caller = gateway.open_caller()
        caller.transport.held = True
        head = b"POST /chat/x HTTP/1.1\r\nHost: a.example\r\nX-Id: q1\r\n"
        request = head + b"X-Key: k1\r\nContent-Length: 2\r\n\r\nhi"
        caller.send(request * 10)
        for number in range(2):
            upstream = gateway.calls[number]
            upstream.accept()
            upstream.respond(make_response(b"x" * 200_000))
            gateway.reactor.advance(0.0)

        self.assertEqual(len(gateway.calls), 2)
        self.assertLess(gateway.context.held.total, 2 * HIGH_WATER_BYTES)
        caller.send(request * (MAX_UNPARSED_BYTES // len(request) + 1))
        self.assertTrue(is_paused(caller))
        caller.transport.release()
        for number in range(2, 10):
            self.assertTrue(is_paused(caller))
            self.assertEqual(len(gateway.calls), number + 1)
            upstream = gateway.calls[number]
            upstream.accept()
            upstream.respond(make_response(b"x"))
            gateway.reactor.advance(0.0)

        self.assertFalse(is_paused(caller))


class UnreadTest(unittest.TestCase):
    """Upstreams of responses that their callers do not read."""

    def assert_no_evidence(self, gateway: Gateway) -> None:
        """Check that nothing is held against an upstream, prompt or request."""
        for found in list_evidence(gateway):
            self.assertFalse(found)

    def test_silence_is_no_evidence(self) -> None:
        """Guards against failovers and checks of upstreams that nobody reads."""
        for ends in ("reads", "leaves", "deadline"):
            with self.subTest(ends=ends):
                gateway = make_sole_gateway(timeout=60.0)
                caller, upstream = open_stream(gateway, X_Blocks="a,b")
                fill_up(upstream)
                [running] = gateway.context.exchanges
                for _ in range(20):
                    gateway.reactor.advance(0.5)
                    running.check_responsiveness(gateway.reactor.seconds())

                if ends == "reads":
                    caller.transport.release()
                    gateway.reactor.advance(0.25)
                    running.check_responsiveness(gateway.reactor.seconds())
                    self.assertFalse(upstream.transport.aborted)
                elif ends == "leaves":
                    caller.leave()
                else:
                    running.finish_now("deadline", gateway.reactor.seconds())

                self.assertEqual(len(gateway.calls), 1)
                self.assert_no_evidence(gateway)

    def test_silence_after_a_pause_is_evidence_again(self) -> None:
        """Guards against streams that stay at an upstream that died in a pause."""
        gateway = make_sole_gateway(timeout=60.0)
        caller, upstream = open_stream(gateway)
        fill_up(upstream)
        gateway.reactor.advance(5.0)
        caller.transport.release()
        [running] = gateway.context.exchanges
        while not upstream.transport.aborted and gateway.reactor.seconds() < 20.0:
            gateway.reactor.advance(0.25)
            running.check_responsiveness(gateway.reactor.seconds())

        self.assertTrue(upstream.transport.aborted)
        self.assertEqual(len(gateway.calls), 2)

    def test_a_cut_off_is_no_evidence_and_resumed(self) -> None:
        """Guards against crashes and lost events as a caller does not read.

        A transport that is not read notices the close only after the pause.
        """
        for noticed in ("in the pause", "after it"):
            for end in (Upstream.reset, Upstream.close):
                with self.subTest(noticed=noticed, end=end.__name__):
                    gateway = make_sole_gateway()
                    tally = RolloutTally(0.0, 0.0)
                    gateway.context.tallies["chat"] = tally
                    caller, upstream = open_stream(gateway, X_Blocks="a,b")
                    number = fill_up(upstream)
                    gateway.reactor.advance(5.0)
                    if noticed == "in the pause":
                        end(upstream)
                        gateway.reactor.advance(1.0)
                        self.assertEqual(len(gateway.calls), 1)
                        caller.transport.release()
                    else:
                        caller.transport.release()
                        gateway.reactor.advance(UNREAD_SECONDS / 2)
                        end(upstream)

                    self.assertEqual(len(gateway.calls), 2)
                    second = gateway.calls[-1]
                    sent = second.accept()
                    self.assertIn(f"X-After: {number - 1}\r\n".encode(), sent)
                    second.respond(make_stream_head())
                    send_events(second, number, number + 9)
                    second.respond(LAST_CHUNK)
                    ids = list(range(1, number + 10))
                    self.assertEqual(list_ids(caller), ids)
                    self.assert_no_evidence(gateway)
                    counts = list(tally.kinds.values())
                    self.assertEqual([one.breaks for one in counts], [0])
                    self.assertEqual([one.crashes for one in counts], [0])

    def test_a_cut_off_long_after_a_pause_is_evidence(self) -> None:
        """Guards against crashes that a former pause hides."""
        gateway = make_sole_gateway()
        caller, upstream = open_stream(gateway)
        number = fill_up(upstream)
        caller.transport.release()
        gateway.reactor.advance(2 * UNREAD_SECONDS)
        send_events(upstream, number, number)
        upstream.reset()
        self.assertEqual(len(gateway.calls), 2)
        self.assertNotEqual([one for one in list_evidence(gateway) if one], [])

    def test_a_stream_that_cannot_be_resumed_ends_with_its_reason(self) -> None:
        """Guards against callers that wait for a stream that nobody resumes."""
        gateway = make_sole_gateway(resumable=False)
        caller, upstream = open_stream(gateway)
        fill_up(upstream)
        records = capture_log(upstream.reset)
        self.assertTrue(caller.transport.aborted)
        line = find_outcome(records)
        self.assertEqual(line["outcome"], "cut")
        self.assertEqual(line["reason"], "answer not whole, its caller did not read")
        self.assert_no_evidence(gateway)

    def test_a_caller_may_leave_before_its_stream_is_resumed(self) -> None:
        """Guards against streams that are resumed for nobody."""
        gateway = make_sole_gateway()
        caller, upstream = open_stream(gateway)
        fill_up(upstream)
        upstream.reset()
        caller.leave()
        gateway.reactor.advance(60.0)
        self.assertEqual(len(gateway.calls), 1)
        self.assertEqual(gateway.context.exchanges, set())
        self.assertEqual(gateway.context.held.total, 0)


class RelayedPauseTest(unittest.TestCase):
    """A relay between the gateway of a slow caller and the upstream."""

    def test_a_relay_pauses_the_upstream(self) -> None:
        """Guards against a relay that holds what the caller does not read."""
        [near, far] = make_fleet().gateways
        cut_off(near)
        caller = near.ask(X_Budget="60")
        caller.transport.held = True
        relayed = open_relayed(near.upstreams[-1], far)
        upstream = far.upstreams[-1]
        upstream.accept()
        upstream.respond(make_stream_head())
        number = 1
        for _ in range(1_000):
            if is_paused(upstream):
                break

            number = send_events(upstream, number, number)
            self.pump(relayed)

        self.assertTrue(is_paused(upstream))
        self.assertTrue(is_paused(relayed.near))
        self.assertLess(number * EVENT_BYTES, 4 * HIGH_WATER_BYTES)
        caller.transport.release()
        relayed.far_transport.release()
        relayed.pump()
        self.assertFalse(is_paused(upstream))
        send_events(upstream, number, number + 5)
        upstream.respond(LAST_CHUNK)
        relayed.pump()
        self.assertEqual(list_ids(caller), list(range(1, number + 6)))
        self.assertTrue(caller.received.endswith(LAST_CHUNK))

    def pump(self, relayed: Relayed) -> None:
        """Forward what the relay has sent, as long as the gateway reads it."""
        relayed.far_transport.held = is_paused(relayed.near)
        if not relayed.far_transport.held:
            relayed.pump()


class StopTest(unittest.TestCase):
    """A pause that lasts while the gateway stops."""

    def test_a_stop_waits_for_a_caller_that_reads_again(self) -> None:
        """Guards against streams that a planned stop cuts, or waits for too long."""
        limit = make_gateway().context.settings.grace - STOP_MARGIN
        for reads in (True, False):
            with self.subTest(reads=reads):
                gateway = make_gateway("u1")
                stop = Shutdown(gateway)
                caller, upstream = open_stream(gateway)
                number = fill_up(upstream)
                stop.signal()
                stop.wait(limit / 2)
                self.assertFalse(stop.ended)
                if reads:
                    caller.transport.release()
                    send_events(upstream, number, number + 9)
                    upstream.respond(LAST_CHUNK)
                    stop.wait(0.5)
                    self.assertEqual(list_ids(caller), list(range(1, number + 10)))
                    self.assertTrue(caller.received.endswith(LAST_CHUNK))
                else:
                    stop.wait(limit / 2 + STOP_MARGIN)
                    self.assertTrue(caller.transport.aborted)

                self.assertTrue(stop.ended)
                self.assertEqual(gateway.context.exchanges, set())


class LostCountsTest(unittest.TestCase):
    """Slow readers at a gateway that does not know the window of the retry budget."""

    def test_a_stream_that_ended_unread_goes_on(self) -> None:
        """Guards against streams that a planned stop of all controls cuts."""
        gateway = make_gateway("u1", "u2")
        limits = RetryLimits(ratio=4.0)
        gateway.context.settings = make_settings(retries=limits)
        gateway.context.retries.began_at = gateway.reactor.seconds()
        caller, upstream = open_stream(gateway)
        fill_up(upstream)
        upstream.reset()
        caller.transport.release()
        gateway.reactor.advance(0.1)
        self.assertEqual(len(gateway.calls), 2)
        self.assertFalse(caller.transport.aborted)
