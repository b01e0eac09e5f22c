"""Tests of responses to callers when upstreams fail, and of retries."""

from __future__ import annotations

import unittest

from waxwingwell.adapters.gateway.waiting import WAIT_SECONDS
from waxwingwell.routing.load import add_running
from waxwingwell.routing.records import RouteKind
from waxwingwell.routing.retries import RetryLimits

from .support import LAST_CHUNK
from .support import make_chunk
from .support import make_gateway
from .support import make_response
from .support import make_settings
from .support import make_stream_head


NOT_RUN = make_response(b"", 503, "X-Not-Run: 1")


class CompleteResponseTest(unittest.TestCase):
    """Calls with non-streaming responses."""

    def test_responses_are_forwarded_unchanged(self) -> None:
        for name, response, status, body in (
            ("success", make_response(b"fine"), 200, b"fine"),
            ("refusal", make_response(b"no", 409), 409, b"no"),
        ):
            with self.subTest(name):
                gateway = make_gateway("u1", kind=RouteKind.ONCE)
                caller = gateway.ask()
                [upstream] = gateway.calls
                sent = upstream.accept()
                self.assertIn(b"X-Upstream: u1", sent)
                self.assertTrue(sent.endswith(b"\r\n\r\nhi"))
                upstream.respond(response)
                self.assertEqual(caller.status, status)
                self.assertTrue(caller.received.endswith(body))

    def test_a_non_idempotent_request_that_may_have_run_is_not_retried(self) -> None:
        """An upstream runs a request, and the connection is reset before the response.

        A retry would run the request twice.
        """
        gateway = make_gateway(kind=RouteKind.ONCE, max_attempts=3)
        caller = gateway.ask()
        upstream = gateway.calls[0]
        upstream.accept()
        upstream.reset()
        self.assertEqual(len(gateway.calls), 1)
        self.assertEqual(caller.status, 502)
        self.assertNotIn(b"Retry-After", caller.received)

    def test_a_request_that_did_not_run_is_retried(self) -> None:
        for kind in (RouteKind.ONCE, RouteKind.IDEMPOTENT, RouteKind.STREAM):
            for refused in (True, False):
                with self.subTest(kind=kind, refused=refused):
                    gateway = make_gateway(kind=kind)
                    caller = gateway.ask()
                    first = gateway.calls[0]
                    if refused:
                        first.refuse()
                    else:
                        first.accept()
                        first.respond(NOT_RUN)

                    second = gateway.calls[1]
                    self.assertNotEqual(second.port, first.port)
                    second.accept()
                    second.respond(make_response())
                    self.assertEqual(caller.status, 200)

    def test_a_request_that_no_upstream_ran_is_refused(self) -> None:
        gateway = make_gateway("u1", "u2", kind=RouteKind.ONCE)
        caller = gateway.ask()
        for place in range(2):
            upstream = gateway.calls[place]
            upstream.accept()
            upstream.respond(NOT_RUN)

        self.assertEqual(caller.status, 503)
        self.assertIn(b"Retry-After", caller.received)

    def test_a_request_that_can_not_be_served_in_time_is_refused_at_once(self) -> None:
        """Every upstream has a queue that outlasts the caller's deadline.

        The request would occupy a queue for nothing and fail only at its deadline. The
        caller is refused at once and told when to retry.
        """
        gateway = make_gateway("u1", "u2", kind=RouteKind.ONCE)
        for name in ("u1", "u2"):
            for _ in range(500):
                add_running(gateway.context.load, name, 0.0)

        caller = gateway.ask(X_Budget="5")
        self.assertEqual(gateway.calls, [])
        self.assertEqual(caller.status, 503)
        self.assertIn(b"Retry-After: 1.65", caller.received)

    def test_an_upstreams_own_error_is_forwarded(self) -> None:
        gateway = make_gateway(kind=RouteKind.IDEMPOTENT, max_attempts=2)
        caller = gateway.ask()
        for place in range(2):
            upstream = gateway.calls[place]
            upstream.accept()
            upstream.respond(make_response(b"broken", 500))

        self.assertEqual(len(gateway.calls), 2)
        self.assertEqual(caller.status, 500)
        self.assertIn(b"X-Signed", caller.received)

    def test_invalid_responses_are_not_forwarded(self) -> None:
        """An intermediary responds in the upstream's place or alters its response.

        It may also truncate the response or send another request's. The caller must not
        receive that as its response.
        """
        for name, response in (
            ("no mark", make_response(signed=False)),
            ("cut short", make_response()[:-1]),
            ("of another request", make_response().replace(b"q1", b"q2")),
            ("no HTTP at all", b"\x00\x01 nothing\r\n\r\n"),
        ):
            with self.subTest(name):
                gateway = make_gateway("u1", kind=RouteKind.ONCE)
                caller = gateway.ask()
                [upstream] = gateway.calls
                upstream.accept()
                upstream.respond(response)
                if upstream.transport.connected:
                    upstream.close()

                self.assertEqual(caller.status, 502)

    def test_an_idempotent_call_fails_over_from_an_unresponsive_upstream(self) -> None:
        gateway = make_gateway(kind=RouteKind.IDEMPOTENT, max_attempts=2, objective=0.2)
        caller = gateway.ask(X_Budget="2")
        first = gateway.calls[0]
        first.accept()
        gateway.reactor.advance(0.31)
        self.assertTrue(first.transport.aborted)
        second = gateway.calls[1]
        second.accept()
        second.respond(make_response())
        self.assertEqual(caller.status, 200)

    def test_the_routes_timeout_ends_the_request(self) -> None:
        for sent, status in ((True, 504), (False, 503)):
            with self.subTest(sent=sent):
                gateway = make_gateway("u1", kind=RouteKind.ONCE, timeout=2.0)
                caller = gateway.ask()
                [upstream] = gateway.calls
                if sent:
                    upstream.accept()

                gateway.reactor.advance(2.01)
                self.assertEqual(caller.status, status)

    def test_the_call_is_cancelled_when_the_caller_disconnects(self) -> None:
        gateway = make_gateway("u1")
        caller = gateway.ask()
        [upstream] = gateway.calls
        upstream.accept()
        caller.leave()
        self.assertTrue(upstream.transport.aborted)
        self.assertEqual(gateway.context.load.own, {})
        self.assertEqual(gateway.context.exchanges, set())


class StreamTest(unittest.TestCase):
    """Streams of server-sent events."""

    def test_a_broken_stream_resumes_at_another_upstream(self) -> None:
        """The first upstream disconnects in the middle of its second event.

        The caller gets each event once and complete, and the first upstream's head.
        """
        gateway = make_gateway()
        caller = gateway.ask()
        first = gateway.calls[0]
        first.accept()
        first.respond(make_stream_head("X-From: first"))
        first.respond(make_chunk(b"id: 1\ndata: a\n\nid: 2\nda"))
        first.reset()
        second = gateway.calls[1]
        self.assertIn(b"X-After: 1\r\n", second.accept())
        second.respond(make_stream_head("X-From: second"))
        second.respond(make_chunk(b"id: 2\ndata: b\n\n") + LAST_CHUNK)
        received = caller.received
        self.assertEqual(received.count(b"data: a"), 1)
        self.assertEqual(received.count(b"data: b"), 1)
        self.assertNotIn(b"da\r", received)
        self.assertIn(b"X-From: first", received)
        self.assertNotIn(b"X-From: second", received)
        self.assertTrue(received.endswith(LAST_CHUNK))

    def test_a_stream_that_can_not_be_resumed_is_aborted(self) -> None:
        gateway = make_gateway(resumable=False)
        caller = gateway.ask()
        first = gateway.calls[0]
        first.accept()
        first.respond(make_stream_head() + make_chunk(b"id: 1\ndata: a\n\n"))
        first.reset()
        self.assertEqual(len(gateway.calls), 1)
        self.assertTrue(caller.transport.aborted)
        self.assertNotIn(LAST_CHUNK, caller.received)

    def test_a_stream_fails_over_from_an_unresponsive_upstream(self) -> None:
        """An upstream stops sending data while its connections stay open.

        Another upstream resumes the stream before the caller has waited two seconds.
        """
        for started in (True, False):
            with self.subTest(started=started):
                gateway = make_gateway()
                gateway.ask()
                first = gateway.calls[0]
                first.accept()
                if started:
                    first.respond(
                        make_stream_head() + make_chunk(b"id: 1\ndata: a\n\n")
                    )

                gateway.reactor.advance(1.6)
                [exchange] = gateway.context.exchanges
                exchange.check_responsiveness(gateway.reactor.seconds())
                self.assertTrue(first.transport.aborted)
                self.assertEqual(len(gateway.calls), 2)

    def test_a_stream_is_not_cut_before_its_caller_disconnects(self) -> None:
        """A caller's deadline passes while events still arrive.

        The caller's budget is 2 s, and it disconnects by itself a moment later. If it
        was cut at exactly 2 s, the stream would end while the caller still reads. The
        route's own timeout is enforced exactly.
        """
        for timeout, lasts in ((10.0, 2.3), (2.1, 2.1), (2.0, 2.0)):
            with self.subTest(timeout=timeout):
                gateway = make_gateway("u1", timeout=timeout)
                caller = gateway.ask(X_Budget="2")
                [upstream] = gateway.calls
                upstream.accept()
                upstream.respond(make_stream_head() + make_chunk(b"id: 1\n\n"))
                gateway.reactor.advance(2.0)
                if lasts > 2.0:
                    self.assertFalse(caller.transport.aborted)
                    gateway.reactor.advance(lasts - 2.0 + 0.001)

                self.assertTrue(caller.transport.aborted)
                self.assertTrue(upstream.transport.aborted)

    def test_an_unresponsive_upstream_is_kept_while_no_other_can_resume(self) -> None:
        """The only upstream left sends no data for a long time.

        It may still respond. If the stream was abandoned before another upstream is
        known to take it, its caller would lose a response that was on its way.
        """
        gateway = make_gateway("u1")
        caller = gateway.ask()
        [upstream] = gateway.calls
        upstream.accept()
        upstream.respond(make_stream_head() + make_chunk(b"id: 1\ndata: a\n\n"))
        gateway.reactor.advance(3.0)
        [exchange] = gateway.context.exchanges
        exchange.check_responsiveness(gateway.reactor.seconds())
        self.assertFalse(upstream.transport.aborted)
        upstream.respond(make_chunk(b"id: 2\ndata: b\n\n") + LAST_CHUNK)
        self.assertTrue(caller.received.endswith(LAST_CHUNK))

    def test_a_slow_upstream_that_is_alive_is_kept(self) -> None:
        gateway = make_gateway("u1", "u2")
        gateway.ask()
        gateway.calls[0].accept()
        gateway.reactor.advance(1.6)
        [exchange] = gateway.context.exchanges
        gateway.context.upstream_active_at.update(u1=1.5, u2=1.5)
        exchange.check_responsiveness(gateway.reactor.seconds())
        self.assertEqual(len(gateway.calls), 1)


class ModelTest(unittest.TestCase):
    """Routes for which the gateway selects the model."""

    def test_low_confidence_escalates_to_a_larger_model(self) -> None:
        for confidence, models in (("0.9", ["small"]), ("0.2", ["small", "large"])):
            with self.subTest(confidence=confidence):
                gateway = make_gateway(models=("small", "large"))
                caller = gateway.ask(X_Model="*")
                first = gateway.calls[0]
                sent = [first.accept()]
                first.respond(make_stream_head(f"X-Confidence: {confidence}"))
                if len(models) == 2:
                    self.assertTrue(first.transport.aborted)
                    self.assertEqual(caller.received, b"")
                    sent.append(gateway.calls[1].accept())

                self.assertEqual(len(gateway.calls), len(models))
                for data, model in zip(sent, models, strict=True):
                    self.assertIn(f"X-Use-Model: {model}\r\n".encode(), data)

    def test_a_late_gateway_asks_for_no_larger_model(self) -> None:
        """Guards against work over a full link that callers can do without."""
        for late_at, upstreams in ((-10.0, 2), (0.0, 1)):
            with self.subTest(late_at=late_at):
                gateway = make_gateway(models=("small", "large"))
                gateway.context.delays.late_at = late_at
                gateway.ask(X_Model="*")
                [first] = gateway.calls
                first.accept()
                first.respond(make_stream_head("X-Confidence: 0.2"))
                self.assertEqual(len(gateway.calls), upstreams)

    def test_what_a_new_gateway_asks_again_while_counts_are_lost(self) -> None:
        """Guards against poor responses that are kept after a restart of all."""
        for name, response, is_reset, upstreams in (
            ("a poor response", make_stream_head("X-Confidence: 0.2"), False, 2),
            ("a broken one", make_stream_head("X-Confidence: 0.9"), True, 1),
            ("none", b"", True, 1),
        ):
            with self.subTest(name):
                gateway = make_gateway(models=("small", "large"))
                limits = RetryLimits(ratio=4.0)
                gateway.context.settings = make_settings(retries=limits)
                gateway.context.retries.began_at = gateway.reactor.seconds()
                gateway.ask(X_Model="*")
                [first] = gateway.calls
                first.accept()
                first.respond(response)
                if is_reset:
                    first.reset()

                self.assertEqual(len(gateway.calls), upstreams)

    def test_a_larger_model_that_is_not_reached_while_counts_are_lost(self) -> None:
        """Guards against a caller that gets no response, as a poor one was dropped."""
        gateway = make_gateway("u1", "u2", "u3", models=("small", "large"))
        gateway.context.settings = make_settings(retries=RetryLimits(ratio=4.0))
        gateway.context.retries.began_at = gateway.reactor.seconds()
        caller = gateway.ask(X_Model="*")
        first = gateway.calls[0]
        first.accept()
        first.respond(make_stream_head("X-Confidence: 0.2"))
        gateway.calls[1].refuse()
        self.assertEqual(caller.received, b"")
        self.assertEqual(len(gateway.calls), 3)

    def test_the_largest_model_is_first_while_retries_run_short(self) -> None:
        """Guards against poor responses that are kept as no escalation is allowed."""
        spent = RetryLimits(ratio=0.0, slack=0.0)
        for name, limits, route, poor_shares, model in (
            ("no retry, poor", spent, {}, {"r1": 0.6}, "large"),
            ("no retry, good", spent, {}, {"r1": 0.01}, "small"),
            ("no retry, unknown", spent, {}, {}, "small"),
            ("retries left", RetryLimits(), {}, {"r1": 0.6}, "small"),
            ("one attempt", RetryLimits(), {"max_attempts": 1}, {"r1": 0.6}, "large"),
        ):
            with self.subTest(name):
                gateway = make_gateway(models=("small", "large"), **route)
                gateway.context.settings = make_settings(retries=limits)
                gateway.context.poor_shares = dict(poor_shares)
                gateway.ask(X_Model="*")
                sent = gateway.calls[0].accept()
                self.assertIn(f"X-Use-Model: {model}\r\n".encode(), sent)

    def test_a_model_named_by_the_caller_is_not_replaced(self) -> None:
        gateway = make_gateway(models=("small", "large"))
        gateway.ask(X_Model="medium")
        self.assertIn(b"X-Use-Model: \r\n", gateway.calls[0].accept())


class ArrivalTest(unittest.TestCase):
    """Requests that are refused before they are placed."""

    def test_refusals(self) -> None:
        for name, headers, status in (
            ("unknown host", {"Host": "b.example"}, 404),
            ("unknown key", {"X_Key": "other"}, 401),
            ("fine", {}, 0),
        ):
            with self.subTest(name):
                caller = make_gateway().ask(**headers)
                self.assertEqual(caller.status, status)

    def test_a_key_is_not_rejected_without_a_document(self) -> None:
        """A starting gateway receives no document while the caller waits.

        A valid key must not be rejected as unknown; the caller is told to retry.
        """
        gateway = make_gateway()
        gateway.context.index = None
        caller = gateway.ask()
        self.assertEqual(caller.status, 0)
        gateway.reactor.advance(WAIT_SECONDS)
        self.assertEqual(caller.status, 503)
        self.assertIn(b"Retry-After", caller.received)

    def test_an_isolated_gateway_follows_fail_closed(self) -> None:
        for closed, status in ((True, 503), (False, 0)):
            with self.subTest(closed=closed):
                gateway = make_gateway()
                gateway.context.settings = make_settings(fail_closed=closed)
                gateway.reactor.advance(6.0)
                gateway.context.heartbeats_at = 0.0
                self.assertEqual(gateway.ask().status, status)

    def test_a_stopping_gateway_accepts_only_requests_it_can_finish(self) -> None:
        """The balancer still sends callers to a gateway that exits in three seconds.

        A stream would be cut; a short call still ends in time.
        """
        for kind, budget, status in (
            (RouteKind.STREAM, "10", 503),
            (RouteKind.ONCE, "10", 503),
            (RouteKind.ONCE, "1", 0),
        ):
            with self.subTest(kind=kind, budget=budget):
                gateway = make_gateway(kind=kind)
                gateway.context.stopping = True
                gateway.context.exit_at = 3.0
                self.assertEqual(gateway.ask(X_Budget=budget).status, status)
