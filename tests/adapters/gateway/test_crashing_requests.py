"""Tests of one request that crashes each engine that serves it."""

from __future__ import annotations

import unittest
from functools import partial

from waxwingwell.adapters.gateway.arrivals import handle_relayed
from waxwingwell.adapters.gateway.crashes import BREAK_SECONDS
from waxwingwell.adapters.gateway.crashes import SILENT_SECONDS
from waxwingwell.adapters.gateway.crashes import hash_request_content
from waxwingwell.adapters.gateway.crashes import review_breaks
from waxwingwell.adapters.http.pieces import BodyPieces
from waxwingwell.adapters.http.records import HttpRequest
from waxwingwell.routing.fleet import apply_heartbeats
from waxwingwell.routing.hashes import hash_block
from waxwingwell.routing.hashes import is_content
from waxwingwell.routing.limits import record_leave

from .paths import make_sole_gateway
from .request_plays import MAX_ENDED
from .request_plays import POLL_SECONDS
from .request_plays import Kind
from .request_plays import play
from .support import VARYING_HEADERS
from .support import Gateway
from .support import make_chunk
from .support import make_gateway
from .support import make_stream_head


RETRY_CREDIT = 20
"""Requests for which the retry budget allows a retry."""
KINDS = (
    ("its last block crashes", Kind()),
    ("at one gateway", Kind(gateways=1, has_controls=False)),
    ("its own block is its only one", Kind(blocks="own")),
    ("no blocks", Kind(blocks="")),
    ("nothing beside it", Kind(sound_per_second=0.0)),
    ("before the first byte", Kind(crashes_early=True)),
    ("later", Kind(crash_seconds=0.4)),
    ("closed cleanly", Kind(closes_cleanly=True)),
    ("silent", Kind(falls_silent=True)),
    ("nine gateways", Kind(gateways=9, sound_per_second=20.0)),
)
"""Kinds of plays in which the caller comes back after the contact time."""


class CrashingRequestTest(unittest.TestCase):
    """A fault of one request, which no other upstream can make good."""

    def test_a_request_ends_three_upstreams_at_most(self) -> None:
        """Guards against attempts that crash one upstream after the other."""
        for name, kind in KINDS:
            with self.subTest(name):
                self.assertLessEqual(play(kind).ended, MAX_ENDED)

    def test_a_caller_that_comes_back_at_once_ends_one_more(self) -> None:
        """Guards against attempts that are sooner than the evidence."""
        for name, kind in (
            ("three gateways", Kind(pause=POLL_SECONDS)),
            ("nine gateways", Kind(gateways=9, pause=POLL_SECONDS)),
            ("before the first byte", Kind(pause=POLL_SECONDS, crashes_early=True)),
        ):
            with self.subTest(name):
                self.assertLessEqual(play(kind).ended, MAX_ENDED + 1)

    def test_evidence_outlives_its_gateway_and_a_control(self) -> None:
        """Guards against crashes known only to a gateway and its control."""
        for name, kind in (
            ("in the middle", Kind(attempts=3, loses_first_gateway=True)),
            (
                "before the first byte",
                Kind(attempts=3, loses_first_gateway=True, crashes_early=True),
            ),
            ("nine gateways", Kind(gateways=9, attempts=9, loses_first_gateway=True)),
        ):
            with self.subTest(name):
                self.assertLessEqual(play(kind).ended, MAX_ENDED)

    def test_no_attempt_is_sent_after_the_third_end(self) -> None:
        """Guards against requests that are sent again although they must not run."""
        played = play(Kind(gateways=9, attempts=9))
        self.assertLessEqual(len(played.engines.poisoned), MAX_ENDED)
        self.assertEqual([one.status for one in played.asked[-3:]], [503] * 3)

    def test_all_attempts_count_as_one_request_for_its_blocks(self) -> None:
        """Guards against blocks that others hold, condemned by one caller."""
        played = play(Kind(blocks="shared,rare,own"))
        for gateway in played.engines.gateways:
            held = gateway.context.quarantine.blocks[hash_block("chat", "rare")]
            self.assertEqual(len({one.request for one in held.values()}), 1)

    def test_crashes_travel_to_a_relay(self) -> None:
        """Guards against a count that begins anew at the next gateway."""
        for crashes, sent in (("", 2), ("1f", 2), ("1f,2e", 1), ("none", 2)):
            with self.subTest(crashes=crashes):
                gateway = make_gateway()
                for _ in range(RETRY_CREDIT):
                    gateway.ask().leave()

                gateway.reactor.tcpClients.clear()
                gateway.service.handle = partial(handle_relayed, gateway.context)
                gateway.ask(X_Waxwingwell_Crashes=crashes)
                [upstream] = gateway.calls
                upstream.accept()
                upstream.reset()
                self.assertEqual(len(gateway.calls), sent)

    def test_all_attempts_of_a_request_have_one_key(self) -> None:
        """Guards against attempts that are taken for other requests."""
        common = ((b"X-Tokens", b"9"), (b"X-Blocks", b"a,b"))
        base = HttpRequest(
            b"POST", b"/chat/x", [(b"X-Id", b"1"), *common], BodyPieces(b"hi")
        )
        cases = (
            ("another id", base, [(b"X-Id", b"2"), *common], b"hi", True),
            ("later", base, [(b"X-Budget", b"2"), *common], b"hi", True),
            ("resumed", base, [(b"X-After", b"7"), *common], b"hi", True),
            ("other order", base, [*reversed(common)], b"hi", True),
            ("another address", base, [(b"Host", b"b"), *common], b"hi", True),
            ("other blocks", base, [(b"X-Blocks", b"a,c")], b"hi", False),
            ("another body", base, [*common], b"ho", False),
        )
        for name, first, headers, body, expected in cases:
            with self.subTest(name):
                other = HttpRequest(
                    first.method, first.target, list(headers), BodyPieces(body)
                )
                keys = {
                    hash_request_content("r1", one, VARYING_HEADERS)
                    for one in (first, other)
                }
                self.assertEqual(len(keys) == 1, expected)

    def test_a_process_that_is_not_announced_crashes_anew(self) -> None:
        """Guards against two crashes before the first byte that count as one."""
        gateway = make_sole_gateway("u1")
        for _ in range(2):
            gateway.reactor.advance(1.0)
            gateway.ask()
            upstream = gateway.calls[-1]
            upstream.accept()
            upstream.reset()
            gateway.checks[-1].refuse()

        self.assertEqual(count_suspected(gateway), 2)

    def test_an_upstream_that_leaves_may_be_crashed_as_well(self) -> None:
        """Guards against a request that goes on as an upstream under it had to end."""
        for name, leaves, crashes in (
            ("it leaves first", (True, False), 1),
            ("it leaves after a crash", (False, True), 2),
            ("it leaves twice", (True, True), 0),
        ):
            with self.subTest(name):
                gateway = make_sole_gateway("u1")
                for leaving in leaves:
                    gateway.context.limits.leaves.clear()
                    gateway.reactor.advance(1.0)
                    gateway.ask()
                    upstream = gateway.calls[-1]
                    upstream.accept()
                    if leaving:
                        now = gateway.reactor.seconds()
                        record_leave(gateway.context.limits, "u1", 1, now)

                    upstream.reset()
                    for check in gateway.checks:
                        if check.port == upstream.port:
                            check.refuse()

                self.assertEqual(count_suspected(gateway), crashes)

    def test_an_upstream_that_falls_silent_has_crashed(self) -> None:
        """Guards against crashes that no later process shows."""
        for name, heard, others, answers, crashes in (
            ("gone for good", False, True, False, 1),
            ("slow", True, True, False, 0),
            ("no news at all", False, False, False, 0),
            ("it accepts connections", False, True, True, 0),
        ):
            with self.subTest(name):
                gateway = start_silent_stream()
                for check in gateway.checks:
                    (check.accept if answers else check.expire)()

                gateway.reactor.advance(SILENT_SECONDS + 1.0)
                now = gateway.reactor.seconds()
                if others:
                    gateway.context.heartbeats_at = now

                if heard:
                    apply_heartbeats(gateway.context.fleet, [("u1", 1, 5)], now)

                review_breaks(gateway.context)
                self.assertEqual(count_suspected(gateway), crashes)


def start_silent_stream() -> Gateway:
    """Return a gateway whose sole upstream begins a response and falls silent."""
    gateway = make_sole_gateway("u1")
    caller = gateway.ask()
    [upstream] = gateway.calls
    upstream.accept()
    upstream.respond(make_stream_head() + make_chunk(b"id: 1\ndata: a\n\n"))
    gateway.reactor.advance(BREAK_SECONDS / 2)
    caller.leave()
    return gateway


def count_suspected(gateway: Gateway) -> int:
    """Return the crashes of which a request is suspected."""
    blocks = gateway.context.quarantine.blocks
    return sum(len(crashes) for key, crashes in blocks.items() if is_content(key))


if __name__ == "__main__":
    unittest.main()
