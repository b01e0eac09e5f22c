"""Streams that have begun: they go on as long as any upstream can finish them."""

from __future__ import annotations

import unittest
from typing import Any
from unittest import mock

from tests.routing.factories import make_document
from tests.routing.factories import make_news
from tests.routing.factories import make_rollout
from tests.routing.factories import make_route
from waxwingwell.adapters.gateway import exchange
from waxwingwell.adapters.gateway.exchange import MAX_ATTEMPTS
from waxwingwell.adapters.gateway.exchange import RETRY_DELAY_SECONDS
from waxwingwell.routing.fleet import UpstreamState
from waxwingwell.routing.fleet import take_news
from waxwingwell.routing.load import begin_use
from waxwingwell.routing.lookup import index_document
from waxwingwell.routing.records import Service
from waxwingwell.routing.records import Target

from .support import LAST_CHUNK
from .support import Caller
from .support import Gateway
from .support import Upstream
from .support import make_answer
from .support import make_chunk
from .support import make_gateway
from .support import make_settings
from .support import make_stream_head


FIRST_EVENT = make_chunk(b"id: 1\ndata: a\n\n")
SECOND_EVENT = make_chunk(b"id: 2\ndata: b\n\n")
NOT_RUN = make_answer(b"", 503, "X-Not-Run: 1")


def prepare(*names: str, **route: Any) -> Gateway:
    """Return a gateway that has the budget of repeats for itself."""
    gateway = make_gateway(*names, **route)
    gateway.context.load.others_at = 0.0
    return gateway


def begin(gateway: Gateway, **headers: str) -> tuple[Caller, Upstream]:
    """Ask for a stream and pass on its first event."""
    caller = gateway.ask(**headers)
    upstream = gateway.upstreams[-1]
    upstream.accept()
    upstream.answer(make_stream_head() + FIRST_EVENT)
    return caller, upstream


def finish(upstream: Upstream) -> None:
    """Go on after the first event, to the end."""
    upstream.accept()
    upstream.answer(make_stream_head() + SECOND_EVENT + LAST_CHUNK)


class ResumingTest(unittest.TestCase):
    """What a caller gets when something changes while its stream is under way."""

    def assert_whole(self, caller: Caller) -> None:
        """Check that both events came once, and the end."""
        self.assertEqual(caller.received.count(b"data: a"), 1)
        self.assertEqual(caller.received.count(b"data: b"), 1)
        self.assertTrue(caller.received.endswith(LAST_CHUNK))
        self.assertFalse(caller.transport.aborted)

    def test_a_refused_resumption_goes_to_another_upstream(self) -> None:
        """The upstream that is to go on with a stream answers with something else.

        The first one broke after an event. The caller holds half of its answer, and a
        third upstream can finish it; whatever the second says can't be passed on.
        """
        for name, answer in (
            ("not found", make_answer(b"no", 404)),
            ("conflict", make_answer(b"no", 409)),
            ("too many", make_answer(b"no", 429)),
            ("moved", make_answer(b"", 302)),
            ("from elsewhere", make_answer(b"no", 404, signed=False)),
            ("failure", make_answer(b"no", 500)),
            ("not run", NOT_RUN),
            ("of another request", make_answer().replace(b"q1", b"q2")),
        ):
            with self.subTest(name):
                gateway = prepare()
                caller, first = begin(gateway)
                first.reset()
                second = gateway.upstreams[1]
                second.accept()
                second.answer(answer)
                self.assertEqual(len(gateway.upstreams), 3)
                finish(gateway.upstreams[2])
                self.assert_whole(caller)

    def test_a_stream_goes_on_under_the_document_that_it_came_with(self) -> None:
        """An operator takes something away while streams run.

        A new document comes into force, and then the first upstream breaks. The caller
        was let in, and the upstreams that it was let in to still serve.
        """
        other = make_route(targets=(Target("other", 1),))
        for name, fields in (
            ("route", {"routes": ()}),
            ("route and service", {"routes": (), "services": ()}),
            ("key", {"workspaces": ()}),
            ("target", {"routes": (other,), "services": (Service(name="other"),)}),
            ("timeout", {"routes": (make_route(timeout=0.1),)}),
        ):
            with self.subTest(name):
                gateway = prepare()
                caller, first = begin(gateway)
                document = make_document(version=2, **fields)
                gateway.context.index = index_document(document)
                gateway.reactor.advance(0.5)
                first.reset()
                self.assertEqual(len(gateway.upstreams), 2)
                finish(gateway.upstreams[1])
                self.assert_whole(caller)

    def test_a_silent_upstream_is_kept_once_no_try_is_left(self) -> None:
        """A stream came late to its upstream, after five that were full.

        The sixth falls silent for a while. It is the last that may be asked, so the
        stream waits for it, though another upstream is free.
        """
        gateway = prepare(*(f"u{number}" for number in range(1, 9)))
        caller = gateway.ask()
        for place in range(MAX_ATTEMPTS - 1):
            upstream = gateway.upstreams[place]
            upstream.accept()
            upstream.answer(NOT_RUN)

        last = gateway.upstreams[MAX_ATTEMPTS - 1]
        last.accept()
        last.answer(make_stream_head() + FIRST_EVENT)
        gateway.reactor.advance(1.6)
        [running] = gateway.context.exchanges
        running.check_responsiveness(gateway.reactor.seconds())
        self.assertFalse(last.transport.aborted)
        last.answer(SECOND_EVENT + LAST_CHUNK)
        self.assert_whole(caller)

    def test_a_stream_leaves_a_target_version_that_has_no_other_upstream(self) -> None:
        """A roll-out has just begun, with one upstream of the new version.

        It breaks in the middle of a stream. The upstreams of the former version, which
        still serve, finish the answer; what has not begun is not moved back.
        """
        for begun, asked in ((True, 2), (False, 1)):
            with self.subTest(begun=begun):
                gateway = prepare("u1", "u2")
                target = make_news("u3", version="v2", incarnation=5)
                take_news(gateway.context.fleet, target, 0.0)
                gateway.context.rollouts = {"chat": make_rollout(share=1.0)}
                caller = gateway.ask()
                upstream = gateway.upstreams[0]
                self.assertIn(b"X-Upstream: u3", upstream.accept())
                if begun:
                    upstream.answer(make_stream_head() + FIRST_EVENT)
                    upstream.reset()
                else:
                    upstream.answer(NOT_RUN)

                self.assertEqual(len(gateway.upstreams), asked)
                if begun:
                    finish(gateway.upstreams[1])
                    self.assert_whole(caller)

    def test_a_begun_stream_comes_back_to_an_upstream_that_it_met(self) -> None:
        """A stream breaks, and every other upstream was met as well.

        A connection was reset, or an upstream was full for a moment. Nobody is left to
        ask but those, and a caller that holds a part of its answer can't be refused.
        """
        for name, others in (
            ("no other upstream", []),
            ("the other was full", ["full"]),
            ("the other was not reached", ["lost"]),
            ("both", ["full", "lost"]),
        ):
            with self.subTest(name):
                gateway = prepare(*(f"u{number}" for number in range(len(others) + 1)))
                caller, first = begin(gateway)
                first.reset()
                for place, other in enumerate(others, 1):
                    upstream = gateway.upstreams[place]
                    if other == "lost":
                        upstream.refuse()
                    else:
                        upstream.accept()
                        upstream.answer(NOT_RUN)

                self.assertFalse(caller.transport.aborted)
                self.assertEqual(len(gateway.context.exchanges), 1)
                self.assertEqual(len(gateway.upstreams), len(others) + 1)
                gateway.reactor.advance(RETRY_DELAY_SECONDS)
                self.assertEqual(len(gateway.upstreams), len(others) + 2)
                finish(gateway.upstreams[-1])
                self.assert_whole(caller)

    def test_coming_back_has_its_bounds(self) -> None:
        """All that is left refuses again and again, or the caller leaves meanwhile."""
        gateway = prepare("u1")
        caller, first = begin(gateway)
        first.reset()
        for _ in range(MAX_ATTEMPTS - 1):
            self.assertFalse(caller.transport.aborted)
            gateway.reactor.advance(RETRY_DELAY_SECONDS)
            gateway.upstreams[-1].refuse()

        self.assertTrue(caller.transport.aborted)
        self.assertEqual(len(gateway.upstreams), MAX_ATTEMPTS)
        self.assertEqual(gateway.context.exchanges, set())

        gateway = prepare("u1")
        caller, first = begin(gateway)
        first.reset()
        caller.leave()
        gateway.reactor.advance(RETRY_DELAY_SECONDS)
        self.assertEqual(len(gateway.upstreams), 1)
        self.assertEqual(gateway.context.exchanges, set())

    def test_what_has_not_begun_is_refused_at_once(self) -> None:
        gateway = prepare("u1")
        caller = gateway.ask()
        upstream = gateway.upstreams[0]
        upstream.accept()
        upstream.answer(NOT_RUN)
        self.assertEqual(caller.status, 503)

    def test_a_dropped_answer_is_made_up_for(self) -> None:
        """An unsure answer is dropped for a larger model's, which then isn't reached.

        The drop was our own choice, and the upstream that had answered still serves. It
        is asked again, where the caller got a failure.
        """
        gateway = prepare("u1", "u2", models=("small", "large"))
        caller = gateway.ask(X_Model="*")
        first = gateway.upstreams[0]
        first.accept()
        first.answer(make_stream_head("X-Confidence: 0.1"))
        gateway.upstreams[1].refuse()
        gateway.reactor.advance(RETRY_DELAY_SECONDS)
        self.assertEqual(len(gateway.upstreams), 3)
        third = gateway.upstreams[2]
        third.accept()
        third.answer(make_stream_head() + FIRST_EVENT + SECOND_EVENT + LAST_CHUNK)
        self.assert_whole(caller)

    def test_a_silent_upstream_is_kept_if_another_would_be_too_late(self) -> None:
        """A stream pauses shortly before its caller's time is up.

        Another upstream is there, but can't have an event in the time that is left. The
        silent one still can; given up, the stream is cut with nobody asked.
        """
        gateway = prepare("u1", "u2")
        caller, first = begin(gateway, X_Budget="1.7")
        for _ in range(2000):
            begin_use(gateway.context.load, "u2", 0.0)

        gateway.reactor.advance(1.6)
        [running] = gateway.context.exchanges
        running.check_responsiveness(gateway.reactor.seconds())
        self.assertFalse(first.transport.aborted)
        first.answer(SECOND_EVENT + LAST_CHUNK)
        self.assert_whole(caller)
        self.assertEqual(len(gateway.upstreams), 1)

    def test_what_ends_no_answer_that_is_under_way(self) -> None:
        """Changes around a stream: its upstream goes on with it to the end."""
        leaves = make_news("u1", sequence=2, state=UpstreamState.LEAVING)
        gone = make_news("u1", sequence=2, state=UpstreamState.GONE)
        port = make_news("u1").port
        successor = make_news("other", port=port, incarnation=2)
        for name, news, rollouts in (
            ("the upstream leaves", leaves, {}),
            ("the upstream is gone from the table", gone, {}),
            ("its address was taken by another", successor, {}),
            ("a roll-out completes", None, {"state": "completed"}),
            ("a roll-out is reverted", None, {"state": "reverted"}),
        ):
            with self.subTest(name):
                gateway = prepare("u1")
                caller, upstream = begin(gateway)
                if news is not None:
                    take_news(gateway.context.fleet, news, 0.0)

                if rollouts:
                    rollout = make_rollout(share=1.0, **rollouts)
                    gateway.context.rollouts = {"chat": rollout}

                gateway.reactor.advance(1.0)
                [running] = gateway.context.exchanges
                running.check_responsiveness(gateway.reactor.seconds())
                upstream.answer(SECOND_EVENT + LAST_CHUNK)
                self.assert_whole(caller)
                self.assertEqual(len(gateway.upstreams), 1)

    def test_a_gateway_that_takes_nothing_new_still_resumes(self) -> None:
        """The gateway is stopping, or cut off from the controls.

        It refuses new callers. Those whose answer is under way get it whole, also where
        their upstream breaks meanwhile.
        """
        for name in ("stopping", "cut off"):
            with self.subTest(name):
                gateway = prepare()
                caller, first = begin(gateway)
                if name == "stopping":
                    gateway.context.stopping = True
                    gateway.service.stopping = True
                    gateway.context.exit_at = 4.0
                else:
                    gateway.context.settings = make_settings(fail_closed=True)
                    gateway.reactor.advance(6.0)

                self.assertEqual(gateway.ask().status, 503)
                first.reset()
                finish(gateway.upstreams[1])
                self.assert_whole(caller)

    def test_a_fault_of_ours_at_the_end_is_told_at_once(self) -> None:
        """Counting an answer fails, by a fault in our own code.

        The upstream's call is over by then. Unless the caller is told, it waits for the
        rest until its time is up, and a stop of the gateway waits with it.
        """
        for started in (True, False):
            with (
                self.subTest(started=started),
                mock.patch.object(exchange, "record_outcome", side_effect=RuntimeError),
            ):
                gateway = prepare()
                caller = gateway.ask()
                upstream = gateway.upstreams[0]
                upstream.accept()
                if started:
                    upstream.answer(make_stream_head() + FIRST_EVENT + LAST_CHUNK)
                else:
                    upstream.answer(make_answer(b"no", 404))

                self.assertEqual(gateway.context.exchanges, set())
                self.assertEqual(gateway.context.load.own, {})
                self.assertEqual(caller.transport.aborted, started)
                if started:
                    self.assertFalse(caller.received.endswith(LAST_CHUNK))
                else:
                    self.assertEqual(caller.status, 502)
