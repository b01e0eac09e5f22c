"""Tests of the keys that requests need under the document in force."""

from __future__ import annotations

import unittest
import zlib
from typing import Any

import msgspec

from tests.routing.factories import make_document
from tests.routing.factories import make_route
from waxwingwell.adapters.gateway.steering import handle_cast
from waxwingwell.routing.lookup import index_document
from waxwingwell.routing.messages import ShareRouting
from waxwingwell.routing.records import RouteKind

from .support import Caller
from .support import Gateway
from .support import make_gateway
from .support import make_response
from .support import make_settings
from .test_relaying import lose_path
from .test_relaying import make_fleet
from .test_relaying import open_relayed


SLOTS = 4
"""Requests that one upstream of these tests runs at a time."""
NO_TENANT_LEFT: dict[str, Any] = {"workspaces": (), "needs_key": True}
"""Fields of a document from which the last workspace was taken away."""
HEADERS: dict[str, dict[str, str]] = {
    "held key": {"X_Key": "k1"},
    "unknown key": {"X_Key": "other"},
    "empty key": {"X_Key": ""},
    "no key": {},
}


def publish(gateway: Gateway, version: int = 2, **fields: Any) -> None:
    """Share a document from a control."""
    encoded = msgspec.msgpack.encode(make_document(version=version, **fields))
    body = ShareRouting(
        index=version, version=version, document=zlib.compress(encoded), rollouts=()
    )
    handle_cast(gateway.context, "control", body)


def ask(gateway: Gateway, name: str) -> Caller:
    """Send a request with the headers of that name."""
    gateway.headers = {"X-Key": "k1"}
    headers = HEADERS[name]
    if not headers:
        caller = gateway.open_caller()
        head = "POST /chat/x HTTP/1.1\r\nHost: a.example\r\nX-Id: q1\r\nX-Budget: 10"
        caller.send(f"{head}\r\nContent-Length: 2\r\n\r\nhi".encode())
        return caller

    return gateway.ask(**headers)


class ArrivalTest(unittest.TestCase):
    """Requests that arrive under a document."""

    def test_which_requests_are_refused(self) -> None:
        """Guards against callers that are served once the last tenant has gone."""
        open_route = make_route(anonymous=True)
        for name, fields, refused in (
            ("a tenant", {}, ("unknown key", "empty key", "no key")),
            ("no tenant left", NO_TENANT_LEFT, tuple(HEADERS)),
            ("anonymous", {**NO_TENANT_LEFT, "routes": (open_route,)}, ()),
            ("no list", {"workspaces": (), "needs_key": False}, ()),
        ):
            for key in HEADERS:
                with self.subTest(f"{name}, {key}"):
                    gateway = make_gateway()
                    publish(gateway, **fields)
                    caller = ask(gateway, key)
                    self.assertEqual(caller.status, 401 if key in refused else 0)
                    self.assertEqual(len(gateway.calls), 0 if key in refused else 1)


class WithdrawalTest(unittest.TestCase):
    """Requests on their way as a document takes the last tenant away."""

    def test_a_queued_request(self) -> None:
        """Guards against queued requests that run with a key that was taken away."""
        gateway = make_gateway("u1", kind=RouteKind.ONCE)
        gateway.context.settings = make_settings(request_queue=True)
        for number in range(SLOTS):
            gateway.ask(X_Id=f"r{number}")

        queued = gateway.ask(X_Id="q1")
        publish(gateway, **NO_TENANT_LEFT)
        self.assertEqual(queued.status, 401)
        self.assertEqual(len(gateway.calls), SLOTS)

    def test_a_request_before_the_first_document(self) -> None:
        """Guards against requests that waited for a document and skip its keys."""
        gateway = make_gateway()
        gateway.context.index = None
        waiting = gateway.ask()
        publish(gateway, **NO_TENANT_LEFT)
        self.assertEqual(waiting.status, 401)
        self.assertEqual(gateway.calls, [])

    def test_a_request_at_a_relay(self) -> None:
        """Guards against relays that run what their own document refuses."""
        fleet = make_fleet()
        [cut, relay] = fleet.gateways
        caller = cut.ask()
        for _ in range(3):
            lose_path(cut)

        publish(relay, **NO_TENANT_LEFT)
        calls = len(relay.calls)
        open_relayed(cut.calls[-1], relay).pump()
        self.assertEqual(len(relay.calls), calls)
        self.assertEqual(caller.status, 503)

    def test_a_request_that_was_admitted_is_retried(self) -> None:
        """Guards against callers that lose a request which they were allowed to send.

        It was admitted under the document of its arrival, and has not run yet.
        """
        gateway = make_gateway("u1", "u2", kind=RouteKind.ONCE)
        caller = gateway.ask()
        gateway.context.index = index_document(
            make_document(version=2, **NO_TENANT_LEFT)
        )
        gateway.calls[0].refuse()
        retry = gateway.calls[1]
        retry.accept()
        retry.respond(make_response())
        self.assertEqual(caller.status, 200)
        self.assertEqual(gateway.ask().status, 401)


if __name__ == "__main__":
    unittest.main()
