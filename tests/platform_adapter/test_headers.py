"""Tests of decoding and writing the headers of requests and responses."""

from __future__ import annotations

import platform
import unittest

from waxwingwell.adapters.gateway.dialect import Dispatch
from waxwingwell.adapters.gateway.dialect import RelayedRequest
from waxwingwell.adapters.gateway.dialect import RequestFacts
from waxwingwell_platform.headers import DIALECT


class ModuleTest(unittest.TestCase):
    """The adapter's folder must not shadow a standard module."""

    def test_the_standard_module_is_found(self) -> None:
        self.assertTrue(hasattr(platform, "python_version"))


class RequestTest(unittest.TestCase):
    """Headers of callers' requests, and of requests to upstreams."""

    def test_facts(self) -> None:
        for name, headers, expected in (
            ("nothing", [], RequestFacts(request_id="")),
            (
                "everything",
                [
                    (b"Waxwingwell-Attempt-Id", b"q1"),
                    (b"Waxwingwell-Deadline-Ms", b"2500"),
                    (b"Api-Key", b"k1"),
                    (b"Waxwingwell-Model", b"*"),
                    (b"Waxwingwell-Token-Usage", b"1460,80"),
                    (b"Waxwingwell-Prefix-Hash", b"5c:800,91:410"),
                    (b"Session", b"s1"),
                    (b"Last-Event-Id", b"12"),
                ],
                RequestFacts(
                    request_id="q1",
                    budget=2.5,
                    key="k1",
                    model="*",
                    prompt_tokens=1460,
                    output_tokens=80,
                    prompt_blocks=(("5c", 800), ("91", 410)),
                    session="s1",
                    resume_after="12",
                ),
            ),
            (
                "invalid values",
                [
                    (b"Waxwingwell-Deadline-Ms", b"soon"),
                    (b"Waxwingwell-Token-Usage", b"x"),
                    (b"Waxwingwell-Prefix-Hash", b"5c,:,91:y"),
                ],
                RequestFacts(request_id="", prompt_blocks=(("", 0), ("91", 0))),
            ),
        ):
            with self.subTest(name):
                self.assertEqual(DIALECT.read_request(headers), expected)

    def test_a_caller_can_not_set_reserved_headers(self) -> None:
        """A caller forges headers that only the gateway may set.

        They name another workspace, a reservation, or a copy of other requests' KV
        cache. Neither these headers nor the caller's key may reach an upstream.
        """
        forged = [
            (b"api-key", b"k1"),
            (b"WAXWINGWELL-TENANT", b"other"),
            (b"Waxwingwell-Retention", b"r1"),
            (b"Waxwingwell-Pin-Ms", b"4000"),
            (b"Waxwingwell-Kv-Backup", b"10.0.0.1:1"),
            (b"Kv-From", b"10.0.0.1:1/x"),
            (b"Kv-Fetch", b"10.0.0.1:1"),
            (b"Waxwingwell-Priority-Class", b"0"),
            (b"Waxwingwell-Expect-Instance", b"i-9"),
            (b"Waxwingwell-Deadline-Ms", b"99999"),
        ]
        dispatch = Dispatch(upstream="i-1", remaining=1.5, workspace="team", urgency=4)
        self.assertEqual(
            DIALECT.write_request([(b"X-Own", b"1"), *forged], dispatch),
            [
                (b"X-Own", b"1"),
                (b"waxwingwell-expect-instance", b"i-1"),
                (b"waxwingwell-deadline-ms", b"1500"),
                (b"waxwingwell-tenant", b"team"),
                (b"waxwingwell-priority-class", b"4"),
            ],
        )

    def test_the_model_is_replaced_only_if_the_gateway_chose_it(self) -> None:
        for chosen, expected in (("", b"*"), ("small", b"small")):
            with self.subTest(chosen=chosen):
                dispatch = Dispatch(upstream="i-1", remaining=None, model=chosen)
                headers = [(b"Waxwingwell-Model", b"*")]
                written = dict(DIALECT.write_request(headers, dispatch))
                found = {name.lower(): value for name, value in written.items()}
                self.assertEqual(found[b"waxwingwell-model"], expected)


class RelayedTest(unittest.TestCase):
    """Headers of a client's request to another gateway."""

    def test_the_other_gateway_gets_what_the_client_sent(self) -> None:
        own = [
            (b"Api-Key", b"k1"),
            (b"Waxwingwell-Model", b"*"),
            (b"Waxwingwell-Deadline-Ms", b"2500"),
            (b"Last-Event-Id", b"1"),
        ]
        for name, relayed, expected in (
            (
                "not started",
                RelayedRequest(remaining=1.5),
                {b"waxwingwell-model": b"*", b"waxwingwell-deadline-ms": b"1500"},
            ),
            (
                "started",
                RelayedRequest(remaining=1.5, model="small", resume_after="7"),
                {
                    b"waxwingwell-model": b"small",
                    b"waxwingwell-deadline-ms": b"1500",
                    b"last-event-id": b"7",
                },
            ),
            (
                "no deadline",
                RelayedRequest(remaining=None),
                {b"waxwingwell-model": b"*"},
            ),
        ):
            with self.subTest(name):
                written = DIALECT.write_relayed(own, relayed)
                found = {key.lower(): value for key, value in written}
                self.assertEqual(found, {b"api-key": b"k1", **expected})


class ResponseTest(unittest.TestCase):
    """Headers of an upstream's response."""

    def test_facts(self) -> None:
        signed = (b"Waxwingwell-Server-Signature", b"x")
        for status, headers, not_run, is_signed, confidence in (
            (200, [signed], False, True, None),
            (200, [signed, (b"Waxwingwell-Confidence", b"40")], False, True, 0.4),
            (503, [], False, False, None),
            (503, [(b"Waxwingwell-Not-Executed", b"1")], True, False, None),
            (421, [], True, False, None),
        ):
            with self.subTest(status=status, headers=headers):
                facts = DIALECT.read_response(status, headers)
                self.assertIs(facts.not_run, not_run)
                self.assertIs(facts.signed, is_signed)
                self.assertEqual(facts.confidence, confidence)

    def test_limits_that_an_upstream_states(self) -> None:
        signed = (b"Waxwingwell-Server-Signature", b"x")
        for status, headers, rate, rejections in (
            (200, [], None, None),
            (200, [(b"Server-Limit", b"1.7")], 1.7, None),
            (503, [(b"server-limit", b"0")], 0.0, None),
            (200, [(b"Server-Limit", b"-1"), (b"Server-Brittle", b"4")], None, 4.0),
            (200, [(b"Server-Limit", b"x"), (b"Server-Brittle", b"nan")], None, None),
            (421, [(b"Server-Limit", b"2"), (b"Server-Brittle", b"4")], None, None),
        ):
            with self.subTest(status=status, headers=headers):
                facts = DIALECT.read_response(status, [signed, *headers])
                self.assertEqual(facts.rate_limit, rate)
                self.assertEqual(facts.rejection_limit, rejections)

    def test_the_rest_that_a_rejection_asks_for(self) -> None:
        noon = "Thu, 03 Dec 2026 12:00:00 GMT"
        later = "Thu, 03 Dec 2026 12:00:07 GMT"
        for status, headers, rest in (
            (503, [("Retry-After", "3")], 3.0),
            (429, [("retry-after", "0.25")], 0.25),
            (503, [("Retry-After", "86400")], 86400.0),
            (503, [("Retry-After", later), ("Date", noon)], 7.0),
            (503, [("Retry-After", noon), ("Date", later)], None),
            (503, [("Retry-After", later)], None),
            (503, [("Retry-After", "0")], None),
            (503, [("Retry-After", "-2")], None),
            (503, [("Retry-After", "inf")], None),
            (503, [("Retry-After", "soon")], None),
            (503, [], None),
            (200, [("Retry-After", "3")], None),
            (421, [("Retry-After", "3")], None),
        ):
            with self.subTest(status=status, headers=headers):
                pairs = [(name.encode(), value.encode()) for name, value in headers]
                self.assertEqual(DIALECT.read_response(status, pairs).rest, rest)

    def test_an_upstream_that_leaves(self) -> None:
        for status, headers, leaving in (
            (200, [(b"Server-Leaving", b"1")], True),
            (503, [(b"server-leaving", b" 1 ")], True),
            (200, [(b"Server-Leaving", b"0")], False),
            (200, [(b"Connection", b"close")], False),
            (421, [(b"Server-Leaving", b"1")], False),
        ):
            with self.subTest(status=status, headers=headers):
                self.assertIs(DIALECT.read_response(status, headers).leaving, leaving)
