"""What callers get when upstreams fail, and what may run how often."""

from __future__ import annotations

import unittest

from waxwingwell.adapters.gateway.waiting import WAIT_SECONDS
from waxwingwell.routing.load import begin_use
from waxwingwell.routing.records import RouteKind

from .support import LAST_CHUNK
from .support import make_answer
from .support import make_chunk
from .support import make_gateway
from .support import make_settings
from .support import make_stream_head


NOT_RUN = make_answer(b"", 503, "X-Not-Run: 1")


class WholeAnswerTest(unittest.TestCase):
    """Calls that are answered whole."""

    def test_answers_pass_unchanged(self) -> None:
        for name, answer, status, body in (
            ("success", make_answer(b"fine"), 200, b"fine"),
            ("refusal", make_answer(b"no", 409), 409, b"no"),
        ):
            with self.subTest(name):
                gateway = make_gateway("u1", kind=RouteKind.ONCE)
                caller = gateway.ask()
                [upstream] = gateway.upstreams
                sent = upstream.accept()
                self.assertIn(b"X-Upstream: u1", sent)
                self.assertTrue(sent.endswith(b"\r\n\r\nhi"))
                upstream.answer(answer)
                self.assertEqual(caller.status, status)
                self.assertTrue(caller.received.endswith(body))

    def test_what_may_run_once_is_not_sent_again_after_it_may_have_run(self) -> None:
        """A lost answer.

        An order reaches an upstream, which runs it; the connection is reset before the
        answer. Sent again, it would be carried out twice.
        """
        gateway = make_gateway(kind=RouteKind.ONCE, max_attempts=3)
        caller = gateway.ask()
        upstream = gateway.upstreams[0]
        upstream.accept()
        upstream.reset()
        self.assertEqual(len(gateway.upstreams), 1)
        self.assertEqual(caller.status, 502)
        self.assertNotIn(b"Retry-After", caller.received)

    def test_what_did_not_run_goes_to_another_upstream(self) -> None:
        for kind in (RouteKind.ONCE, RouteKind.IDEMPOTENT, RouteKind.STREAM):
            for refused in (True, False):
                with self.subTest(kind=kind, refused=refused):
                    gateway = make_gateway(kind=kind)
                    caller = gateway.ask()
                    first = gateway.upstreams[0]
                    if refused:
                        first.refuse()
                    else:
                        first.accept()
                        first.answer(NOT_RUN)

                    second = gateway.upstreams[1]
                    self.assertNotEqual(second.port, first.port)
                    second.accept()
                    second.answer(make_answer())
                    self.assertEqual(caller.status, 200)

    def test_a_request_that_nobody_ran_is_refused_truly(self) -> None:
        gateway = make_gateway("u1", "u2", kind=RouteKind.ONCE)
        caller = gateway.ask()
        for place in range(2):
            upstream = gateway.upstreams[place]
            upstream.accept()
            upstream.answer(NOT_RUN)

        self.assertEqual(caller.status, 503)
        self.assertIn(b"Retry-After", caller.received)

    def test_what_can_not_be_served_is_refused_at_once(self) -> None:
        """Every upstream has a queue that outlasts the caller.

        Its request would take a place for nothing, and it would learn so only at the
        end of its time. It hears at once when to come back.
        """
        gateway = make_gateway("u1", "u2", kind=RouteKind.ONCE)
        for name in ("u1", "u2"):
            for _ in range(500):
                begin_use(gateway.context.load, name, 0.0)

        caller = gateway.ask(X_Budget="5")
        self.assertEqual(gateway.upstreams, [])
        self.assertEqual(caller.status, 503)
        self.assertIn(b"Retry-After: 1.65", caller.received)

    def test_an_upstreams_own_failure_is_passed_on(self) -> None:
        gateway = make_gateway(kind=RouteKind.IDEMPOTENT, max_attempts=2)
        caller = gateway.ask()
        for place in range(2):
            upstream = gateway.upstreams[place]
            upstream.accept()
            upstream.answer(make_answer(b"broken", 500))

        self.assertEqual(len(gateway.upstreams), 2)
        self.assertEqual(caller.status, 500)
        self.assertIn(b"X-Signed", caller.received)

    def test_answers_that_are_not_the_upstreams_own_are_not_passed_on(self) -> None:
        """Foreign bytes.

        Something on the way answers in an upstream's place, cuts its answer short or
        sends another request's. The caller must not take that for its answer.
        """
        for name, answer in (
            ("no mark", make_answer(signed=False)),
            ("cut short", make_answer()[:-1]),
            ("of another request", make_answer().replace(b"q1", b"q2")),
            ("no HTTP at all", b"\x00\x01 nothing\r\n\r\n"),
        ):
            with self.subTest(name):
                gateway = make_gateway("u1", kind=RouteKind.ONCE)
                caller = gateway.ask()
                [upstream] = gateway.upstreams
                upstream.accept()
                upstream.answer(answer)
                if upstream.transport.connected:
                    upstream.close()

                self.assertEqual(caller.status, 502)

    def test_a_silent_upstream_of_a_repeatable_call_is_left(self) -> None:
        gateway = make_gateway(kind=RouteKind.IDEMPOTENT, max_attempts=2, objective=0.2)
        caller = gateway.ask(X_Budget="2")
        first = gateway.upstreams[0]
        first.accept()
        gateway.reactor.advance(0.31)
        self.assertTrue(first.transport.aborted)
        second = gateway.upstreams[1]
        second.accept()
        second.answer(make_answer())
        self.assertEqual(caller.status, 200)

    def test_the_answer_comes_at_the_routes_timeout(self) -> None:
        for sent, status in ((True, 504), (False, 503)):
            with self.subTest(sent=sent):
                gateway = make_gateway("u1", kind=RouteKind.ONCE, timeout=2.0)
                caller = gateway.ask()
                [upstream] = gateway.upstreams
                if sent:
                    upstream.accept()

                gateway.reactor.advance(2.01)
                self.assertEqual(caller.status, status)

    def test_work_stops_when_the_caller_leaves(self) -> None:
        gateway = make_gateway("u1")
        caller = gateway.ask()
        [upstream] = gateway.upstreams
        upstream.accept()
        caller.leave()
        self.assertTrue(upstream.transport.aborted)
        self.assertEqual(gateway.context.load.own, {})
        self.assertEqual(gateway.context.exchanges, set())


class StreamTest(unittest.TestCase):
    """Streams of events."""

    def test_a_broken_stream_goes_on_at_another_upstream(self) -> None:
        """A stream over two upstreams.

        The first upstream breaks off in the middle of its second event. The caller
        gets each event once and whole, and the first upstream's head.
        """
        gateway = make_gateway()
        caller = gateway.ask()
        first = gateway.upstreams[0]
        first.accept()
        first.answer(make_stream_head("X-From: first"))
        first.answer(make_chunk(b"id: 1\ndata: a\n\nid: 2\nda"))
        first.reset()
        second = gateway.upstreams[1]
        self.assertIn(b"X-After: 1\r\n", second.accept())
        second.answer(make_stream_head("X-From: second"))
        second.answer(make_chunk(b"id: 2\ndata: b\n\n") + LAST_CHUNK)
        received = caller.received
        self.assertEqual(received.count(b"data: a"), 1)
        self.assertEqual(received.count(b"data: b"), 1)
        self.assertNotIn(b"da\r", received)
        self.assertIn(b"X-From: first", received)
        self.assertNotIn(b"X-From: second", received)
        self.assertTrue(received.endswith(LAST_CHUNK))

    def test_a_stream_that_can_not_go_on_looks_broken(self) -> None:
        gateway = make_gateway(resumable=False)
        caller = gateway.ask()
        first = gateway.upstreams[0]
        first.accept()
        first.answer(make_stream_head() + make_chunk(b"id: 1\ndata: a\n\n"))
        first.reset()
        self.assertEqual(len(gateway.upstreams), 1)
        self.assertTrue(caller.transport.aborted)
        self.assertNotIn(LAST_CHUNK, caller.received)

    def test_a_dark_upstream_is_left(self) -> None:
        """An upstream goes dark.

        Its connections stay open and nothing comes. Another upstream goes on with the
        stream before the caller has waited two seconds.
        """
        for started in (True, False):
            with self.subTest(started=started):
                gateway = make_gateway()
                gateway.ask()
                first = gateway.upstreams[0]
                first.accept()
                if started:
                    first.answer(make_stream_head() + make_chunk(b"id: 1\ndata: a\n\n"))

                gateway.reactor.advance(1.6)
                [exchange] = gateway.context.exchanges
                exchange.check_responsiveness(gateway.reactor.seconds())
                self.assertTrue(first.transport.aborted)
                self.assertEqual(len(gateway.upstreams), 2)

    def test_a_stream_is_not_cut_before_its_caller_leaves(self) -> None:
        """A caller's time is up while events still come.

        It said 2 s, and leaves by itself a moment later. Cut at 2 s sharp, its stream
        would break off while it still reads. The route's own timeout is kept sharp.
        """
        for timeout, lasts in ((10.0, 2.3), (2.1, 2.1), (2.0, 2.0)):
            with self.subTest(timeout=timeout):
                gateway = make_gateway("u1", timeout=timeout)
                caller = gateway.ask(X_Budget="2")
                [upstream] = gateway.upstreams
                upstream.accept()
                upstream.answer(make_stream_head() + make_chunk(b"id: 1\n\n"))
                gateway.reactor.advance(2.0)
                if lasts > 2.0:
                    self.assertFalse(caller.transport.aborted)
                    gateway.reactor.advance(lasts - 2.0 + 0.001)

                self.assertTrue(caller.transport.aborted)
                self.assertTrue(upstream.transport.aborted)

    def test_a_silent_upstream_is_kept_while_no_other_can_go_on(self) -> None:
        """An upstream is silent for long, and is the only one left.

        It may still answer. Were the stream given up before another upstream is known
        to take it, its caller would lose an answer that was on its way.
        """
        gateway = make_gateway("u1")
        caller = gateway.ask()
        [upstream] = gateway.upstreams
        upstream.accept()
        upstream.answer(make_stream_head() + make_chunk(b"id: 1\ndata: a\n\n"))
        gateway.reactor.advance(3.0)
        [exchange] = gateway.context.exchanges
        exchange.check_responsiveness(gateway.reactor.seconds())
        self.assertFalse(upstream.transport.aborted)
        upstream.answer(make_chunk(b"id: 2\ndata: b\n\n") + LAST_CHUNK)
        self.assertTrue(caller.received.endswith(LAST_CHUNK))

    def test_a_slow_upstream_that_lives_is_kept(self) -> None:
        gateway = make_gateway("u1", "u2")
        gateway.ask()
        gateway.upstreams[0].accept()
        gateway.reactor.advance(1.6)
        [exchange] = gateway.context.exchanges
        gateway.context.upstream_active_at.update(u1=1.5, u2=1.5)
        exchange.check_responsiveness(gateway.reactor.seconds())
        self.assertEqual(len(gateway.upstreams), 1)


class ModelTest(unittest.TestCase):
    """Routes whose model we choose."""

    def test_a_larger_model_is_asked_where_the_smallest_is_unsure(self) -> None:
        for confidence, models in (("0.9", ["small"]), ("0.2", ["small", "large"])):
            with self.subTest(confidence=confidence):
                gateway = make_gateway(models=("small", "large"))
                caller = gateway.ask(X_Model="*")
                first = gateway.upstreams[0]
                sent = [first.accept()]
                first.answer(make_stream_head(f"X-Confidence: {confidence}"))
                if len(models) == 2:
                    self.assertTrue(first.transport.aborted)
                    self.assertEqual(caller.received, b"")
                    sent.append(gateway.upstreams[1].accept())

                self.assertEqual(len(gateway.upstreams), len(models))
                for data, model in zip(sent, models, strict=True):
                    self.assertIn(f"X-Use-Model: {model}\r\n".encode(), data)

    def test_the_callers_own_choice_stands(self) -> None:
        gateway = make_gateway(models=("small", "large"))
        gateway.ask(X_Model="medium")
        self.assertIn(b"X-Use-Model: \r\n", gateway.upstreams[0].accept())


class ArrivalTest(unittest.TestCase):
    """What is refused before it is placed."""

    def test_refusals(self) -> None:
        for name, headers, status in (
            ("unknown host", {"Host": "b.example"}, 404),
            ("unknown key", {"X_Key": "other"}, 401),
            ("fine", {}, 0),
        ):
            with self.subTest(name):
                caller = make_gateway().ask(**headers)
                self.assertEqual(caller.status, status)

    def test_without_a_document_nothing_is_denied(self) -> None:
        """A gateway that starts.

        It knows no document yet, and gets none while the caller waits. A caller whose
        key is good must not hear that it is unknown; it may come back.
        """
        gateway = make_gateway()
        gateway.context.index = None
        caller = gateway.ask()
        self.assertEqual(caller.status, 0)
        gateway.reactor.advance(WAIT_SECONDS)
        self.assertEqual(caller.status, 503)
        self.assertIn(b"Retry-After", caller.received)

    def test_a_cut_off_gateway_follows_its_setting(self) -> None:
        for closed, status in ((True, 503), (False, 0)):
            with self.subTest(closed=closed):
                gateway = make_gateway()
                gateway.context.settings = make_settings(fail_closed=closed)
                gateway.reactor.advance(6.0)
                gateway.context.heartbeats_at = 0.0
                self.assertEqual(gateway.ask().status, status)

    def test_a_stopping_gateway_takes_only_what_it_can_finish(self) -> None:
        """A planned stop.

        The balancer still sends callers to a gateway that will be gone in three
        seconds. A stream would be cut off; a short call still ends in time.
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
