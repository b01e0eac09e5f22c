"""Responses whose head an upstream, or a relay, breaks off."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from waxwingwell.routing.records import RouteKind

from .paths import make_sole_gateway
from .support import LAST_CHUNK
from .support import Caller
from .support import Upstream
from .support import make_chunk
from .support import make_response
from .support import make_stream_head
from .test_relaying import cut_off
from .test_relaying import make_fleet


if TYPE_CHECKING:
    from collections.abc import Iterator


HEAD_END = b"\r\n\r\n"
STREAM = make_stream_head() + make_chunk(b"id: 1\ndata: a\n\n") + LAST_CHUNK
UNFRAMED = b"HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Signed: 1\r\n\r\nfine"
INFORMED = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + make_response()
RESPONSES = (
    ("length", RouteKind.ONCE, make_response()),
    ("length, may be retried", RouteKind.IDEMPOTENT, make_response()),
    ("no length", RouteKind.ONCE, UNFRAMED),
    ("chunks", RouteKind.ONCE, STREAM),
    ("stream", RouteKind.STREAM, STREAM),
    ("stream without a length", RouteKind.STREAM, UNFRAMED),
    ("empty", RouteKind.ONCE, make_response(b"")),
    ("after an informational response", RouteKind.ONCE, INFORMED),
)


def list_heads(response: bytes) -> Iterator[bytes]:
    """Yield the beginnings of a response whose head is not complete."""
    for length in range(response.rindex(HEAD_END) + len(HEAD_END)):
        if not response.startswith(b"HTTP/1.1 200") or length < (
            response.index(HEAD_END) + len(HEAD_END)
        ):
            yield response[:length]


class CutHeadTest(unittest.TestCase):
    """A head that is broken off at any byte."""

    def check_refused(self, caller: Caller, upstream: Upstream, head: bytes) -> None:
        """Break off a head by a close or a reset, and check that it is no success."""
        upstream.respond(head)
        self.assertNotIn(b"HTTP/1.1 200", caller.received)

    def test_heads_of_upstreams(self) -> None:
        """Guards against an empty success for a head that was broken off."""
        for name, kind, response in RESPONSES:
            for head in list_heads(response):
                for is_reset in (False, True):
                    with self.subTest(name, length=len(head), is_reset=is_reset):
                        gateway = make_sole_gateway("u1", kind=kind)
                        caller = gateway.ask()
                        upstream = gateway.upstreams[0]
                        upstream.accept()
                        self.check_refused(caller, upstream, head)
                        (upstream.reset if is_reset else upstream.close)()
                        self.assertNotIn(b"HTTP/1.1 200", caller.received)
                        self.assertGreaterEqual(caller.status, 500)

    def test_heads_of_relays(self) -> None:
        """Guards against the same where a relay ends while it responds."""
        for name, kind, response in RESPONSES:
            for head in list_heads(response):
                for is_reset in (False, True):
                    with self.subTest(name, length=len(head), is_reset=is_reset):
                        [cut, _] = make_fleet(kind=kind).gateways
                        cut_off(cut)
                        caller = cut.ask()
                        relay = cut.upstreams[-1]
                        relay.accept()
                        self.check_refused(caller, relay, head)
                        (relay.reset if is_reset else relay.close)()
                        self.assertNotIn(b"HTTP/1.1 200", caller.received)


if __name__ == "__main__":
    unittest.main()
