"""Tests of the calls that show and end quarantines of prompt blocks."""

from __future__ import annotations

import unittest
from typing import Any
from typing import cast

import msgspec

from waxwingwell.adapters.http.pieces import BodyPieces
from waxwingwell.adapters.http.records import HttpRequest
from waxwingwell.adapters.registry.operators import serve_operators
from waxwingwell.routing.quarantine import MIN_CRASHES
from waxwingwell.routing.quarantine import record_crash

from .support import Registry
from .support import make_registry


BLOCK = 0xBAD
PATH = b"/admin/v1/quarantine"


class Responder:
    """Records the response to one call."""

    ended = False

    def __init__(self) -> None:
        self.status = 0
        self.body: Any = None

    def send(self, status: int, headers: Any, body: bytes = b"") -> None:
        """Record the response."""
        self.status = status
        self.body = msgspec.json.decode(body)


def make_quarantining() -> Registry:
    """Return a control that knows a quarantined block."""
    registry = make_registry()
    for number in range(MIN_CRASHES):
        record_crash(
            registry.context.quarantine,
            number,
            (BLOCK,),
            request=number,
            lag=0.1,
            now=0.0,
        )

    return registry


def call(registry: Registry, method: bytes, body: bytes = b"") -> Responder:
    """Call a control."""
    responder = Responder()
    request = HttpRequest(method, PATH, [], BodyPieces(body))
    handle = serve_operators(registry.context, lambda *_: None)
    handle(request, cast("Any", responder))
    return responder


class QuarantineCallTest(unittest.TestCase):
    """Calls to a control that knows a quarantined block."""

    def test_blocks_are_shown_and_released(self) -> None:
        registry = make_quarantining()
        shown = [{"block": f"{BLOCK:016x}", "crashes": MIN_CRASHES}]
        self.assertEqual(call(registry, b"GET").body, {"blocks": shown})
        released = call(registry, b"DELETE")
        self.assertEqual((released.status, released.body), (200, {"blocks": shown}))
        self.assertEqual(call(registry, b"GET").body, {"blocks": []})
        self.assertEqual(call(registry, b"DELETE").status, 200)

    def test_bad_calls_are_refused(self) -> None:
        for method, body, status, text in (
            (b"POST", b"", 405, "method POST"),
            (b"DELETE", b"{}", 400, "body"),
        ):
            with self.subTest(method):
                registry = make_quarantining()
                responder = call(registry, method, body)
                self.assertEqual(responder.status, status)
                self.assertIn(text, responder.body["error"])
                self.assertTrue(registry.context.quarantine.groups)
