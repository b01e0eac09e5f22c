"""Heads of responses that the protocol does not allow."""

from __future__ import annotations

import unittest

from waxwingwell.routing.records import RouteKind

from .paths import make_sole_gateway
from .test_relaying import cut_off
from .test_relaying import make_fleet


FIELDS = b"X-Id: q1\r\nX-Signed: 1\r\nContent-Length: 4\r\n"
HEADS = (
    *(
        (f"status {status.decode()}", b"HTTP/1.1 " + status + b" X\r\n" + FIELDS)
        for status in (b"000", b"099", b"0200", b"20", b"600", b"999", b"2x0")
    ),
    *(
        (f"field {field!r}", b"HTTP/1.1 200 OK\r\n" + field + b"\r\n" + FIELDS)
        for field in (
            b"X Y: 1",
            b"X\x01Y: 1",
            b"X\xe9: 1",
            b"X : 1",
            b": 1",
            b"X: a\x00b",
            b"no colon",
            b"Content-Length: 5",
        )
    ),
)
KINDS = (RouteKind.ONCE, RouteKind.IDEMPOTENT, RouteKind.STREAM)


class InvalidHeadTest(unittest.TestCase):
    """Responses of upstreams and relays in trouble."""

    def test_heads_of_upstreams(self) -> None:
        """Guards against bytes that are no answer and are passed on as one."""
        for name, head in HEADS:
            for kind in KINDS:
                with self.subTest(name, kind=kind):
                    gateway = make_sole_gateway("u1", kind=kind)
                    caller = gateway.ask()
                    upstream = gateway.upstreams[0]
                    upstream.accept()
                    upstream.respond(head + b"\r\nfine")
                    gateway.reactor.advance(1.0)
                    self.assertIn(caller.status, (502, 503))
                    self.assertNotIn(b"fine", caller.received)

    def test_heads_of_relays(self) -> None:
        """Guards against the same where another gateway passes a response on."""
        for name, head in HEADS:
            for kind in KINDS:
                with self.subTest(name, kind=kind):
                    [cut, _] = make_fleet(kind=kind).gateways
                    cut_off(cut)
                    caller = cut.ask()
                    relay = cut.upstreams[-1]
                    relay.accept()
                    relay.respond(head + b"\r\nfine")
                    self.assertNotIn(b"fine", caller.received)
                    self.assertNotIn(caller.status, (200, 600, 999))


class ForeignRefusalTest(unittest.TestCase):
    """Refusals in which an upstream echoes the id of a request."""

    def test_only_a_refusal_of_the_request_itself_is_believed(self) -> None:
        """Guards against a request that runs twice, or was refused and has run."""
        for name, fields, asked in (
            ("own id", "X-Id: q1\r\n", 2),
            ("no id", "", 2),
            ("id of another request", "X-Id: q9\r\n", 1),
        ):
            with self.subTest(name):
                gateway = make_sole_gateway("u1", "u2", kind=RouteKind.ONCE)
                caller = gateway.ask()
                upstream = gateway.upstreams[0]
                upstream.accept()
                head = f"HTTP/1.1 503 X\r\n{fields}X-Not-Run: 1\r\nContent-Length: 0"
                upstream.respond(head.encode() + b"\r\n\r\n")
                self.assertEqual(len(gateway.calls), asked)
                self.assertEqual(caller.status, 0 if asked > 1 else 502)


if __name__ == "__main__":
    unittest.main()
