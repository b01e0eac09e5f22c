"""Tests of heartbeats, configurations and orders that can't be held or passed on."""

from __future__ import annotations

import json
import unittest
from typing import Any
from typing import cast

import msgspec

from tests.adapters.registry.support import make_registry
from waxwingwell.adapters.gateway.relaying import RUNS_HEADER
from waxwingwell.adapters.gateway.relaying import read_count
from waxwingwell.adapters.http.pieces import BodyPieces
from waxwingwell.adapters.http.records import HttpRequest
from waxwingwell.adapters.registry.announcements import list_announcements
from waxwingwell.adapters.registry.announcements import list_news
from waxwingwell.adapters.registry.announcements import receive_news
from waxwingwell.routing.messages import ShareNews
from waxwingwell_platform.control import make_handler
from waxwingwell_platform.headers import TOKENS
from waxwingwell_platform.headers import read_request

from .test_bodies import CONFIG
from .test_bodies import HEARTBEAT
from .test_bodies import ROUTE
from .test_bodies import WALL_TIME
from .test_evacuations import Responder


NESTED = b"[" * 5_000 + b"]" * 5_000
LONG_NUMBER = b"9" * 5_000
HUGE = 2**70


def encode(fields: dict[str, Any]) -> bytes:
    """Encode a body; msgspec encodes no integers of more than 64 bits."""
    numbers = {
        name: value
        for name, value in fields.items()
        if isinstance(value, int) and value > 2**63
    }
    body = msgspec.json.encode(
        {name: value for name, value in fields.items() if name not in numbers}
    )
    members = b"".join(b',"%s":%d' % (name.encode(), numbers[name]) for name in numbers)
    return body[:-1] + members + b"}"


def add_member(fields: dict[str, Any], name: bytes, value: bytes) -> bytes:
    """Encode a body with one more member, given as JSON."""
    return msgspec.json.encode(fields)[:-1] + b',"' + name + b'":' + value + b"}"


class Control:
    """One control, called through its HTTP API."""

    def __init__(self) -> None:
        self.context = make_registry().context
        self.context.wall_clock = lambda: WALL_TIME

    def call(self, method: str, path: str, body: bytes) -> Responder:
        """Return the response to a call."""
        responder = Responder()
        request = HttpRequest(
            method.encode(), path.encode("latin-1"), [], BodyPieces(body)
        )
        make_handler(self.context)(request, cast("Any", responder))
        return responder


class HeartbeatTest(unittest.TestCase):
    """Heartbeats of other writers."""

    def test_odd_heartbeats(self) -> None:
        """Guards against entries that gateways can't be sent or can't connect to."""
        for name, body, place in (
            ("sequence", encode({**HEARTBEAT, "sequence": HUGE}), "sequence"),
            ("slots", encode({**HEARTBEAT, "slots": HUGE}), "slots"),
            ("birth", encode({**HEARTBEAT, "born": HUGE}), "born"),
            (
                "birth in the future",
                encode({**HEARTBEAT, "born": 2**62}),
                "incarnation",
            ),
            ("long sequence", add_member(HEARTBEAT, b"sequence", LONG_NUMBER), ""),
            ("nested", add_member(HEARTBEAT, b"other", NESTED), "nested"),
            (
                "long port",
                encode({**HEARTBEAT, "address": "10.0.0.9:" + "9" * 5_000}),
                "address",
            ),
            *(
                (
                    f"port {port}",
                    encode({**HEARTBEAT, "address": f"10.0.0.9:{port}"}),
                    part,
                )
                for port, part in (
                    ("0", "port"),
                    ("65536", "port"),
                    ("99999", "port"),
                    ("-1", "address"),
                    ("\u0668\u0660", "address"),
                )
            ),
            *(
                (
                    f"host {host!r}",
                    encode({**HEARTBEAT, "address": f"{host}:80"}),
                    "host",
                )
                for host in ("", "a\0b", "10.0.0.9\n", "10.0.0", "x" * 300)
            ),
            ("negative slots", encode({**HEARTBEAT, "slots": -1}), "slots"),
            (
                "endless warm-up",
                encode({**HEARTBEAT, "warmup_left_ms": 1e308}),
                "warming",
            ),
            (
                "negative warm-up",
                encode({**HEARTBEAT, "warmup_left_ms": -5.0}),
                "warming",
            ),
            ("negative sequence", encode({**HEARTBEAT, "sequence": -4}), "sequence"),
            ("version", encode({**HEARTBEAT, "version": "v\r\n1"}), "names"),
            (
                "model",
                encode({**HEARTBEAT, "model_list": [{"name": "m\n"}]}),
                "names",
            ),
        ):
            with self.subTest(name):
                control = Control()
                control.call("PUT", "/-/instances/i-1", encode(HEARTBEAT))
                before = list_announcements(control.context)
                for upstream in ("i-1", "i-2"):
                    path = f"/-/instances/{upstream}"
                    response = control.call("PUT", path, body)
                    self.assertEqual(response.status, 400)
                    self.assertIn(place, response.body.decode())

                self.assertEqual(list_announcements(control.context), before)
                later = encode({**HEARTBEAT, "sequence": 5})
                accepted = control.call("PUT", "/-/instances/i-1", later)
                self.assertEqual(accepted.status, 200)
                msgspec.msgpack.encode(list_news(control.context))

    def test_ids_that_no_header_holds(self) -> None:
        """Guards against upstreams whose id can't be sent with a request."""
        for upstream in ("", "i\x01", "i\x7f", " i"):
            with self.subTest(upstream):
                control = Control()
                response = control.call(
                    "PUT", f"/-/instances/{upstream}", encode(HEARTBEAT)
                )
                self.assertEqual(response.status, 400)
                self.assertEqual(list_announcements(control.context), ())

    def test_odd_deregistrations(self) -> None:
        """Guards against an end that outlasts each later start of an upstream."""
        for name, body in (
            ("birth", b'{"born":%d}' % HUGE),
            ("birth in the future", b'{"born":%d}' % 2**62),
            ("nested", b'{"other":' + NESTED + b"}"),
        ):
            with self.subTest(name):
                control = Control()
                control.call("PUT", "/-/instances/i-1", encode(HEARTBEAT))
                before = list_announcements(control.context)
                response = control.call("DELETE", "/-/instances/i-1", body)
                self.assertEqual(response.status, 400)
                self.assertEqual(list_announcements(control.context), before)

    def test_an_odd_entry_among_those_of_a_peer(self) -> None:
        """Guards against one bad member that takes the whole list along."""
        control = Control()
        control.call("PUT", "/-/instances/i-1", encode(HEARTBEAT))
        [sound] = list_announcements(control.context)
        receiver = make_registry().context
        changes: tuple[dict[str, Any], ...] = (
            {"port": 99_999},
            {"host": "a\0b"},
            {"slots": -1},
        )
        odd = tuple(
            msgspec.structs.replace(sound, upstream=f"odd-{place}", **change)
            for place, change in enumerate(changes)
        )
        receive_news(receiver, "other", ShareNews(news=(*odd, sound)))
        self.assertEqual(list_announcements(receiver), (sound,))


class OrderTest(unittest.TestCase):
    """Configurations and roll-outs."""

    def test_odd_configurations(self) -> None:
        """Guards against a configuration that gets no answer, or can't be stored."""
        routes: dict[str, dict[str, Any]] = {
            "a weight": {"weighted_backends": [{"backend": "desk", "weight": 2**64}]},
            "attempts": {"max_attempts": 2**64},
            "a priority": {"priority": -(2**63) - 1},
        }
        for name, body in (
            ("version", encode({**CONFIG, "version": HUGE})),
            ("nested", add_member(CONFIG, b"other", NESTED)),
            ("long version", add_member(CONFIG, b"version", LONG_NUMBER)),
            (
                "a limit",
                encode(CONFIG)[:-1] + b',"limits":{"max_body_bytes":%d}}' % HUGE,
            ),
            (
                "a negative limit",
                encode({**CONFIG, "limits": {"idle_timeout_ms": -1}}),
            ),
            (
                "a workspace",
                encode({**CONFIG, "tenants": [{"name": "a\r\nb", "api_keys": ["k"]}]}),
            ),
            ("a model", encode({**CONFIG, "routes": [{**ROUTE, "sizes": ["\u20ac"]}]})),
            *(
                (
                    name,
                    encode(CONFIG).replace(
                        b'"name":"r1"',
                        b'"name":"r1",%s' % encode_members(fields),
                    ),
                )
                for name, fields in routes.items()
            ),
        ):
            with self.subTest(name):
                response = Control().call("PUT", "/-/config", body)
                self.assertEqual(response.status, 400)
                self.assertGreater(len(response.body), len(b'{"error":""}'))

    def test_null_is_no_value(self) -> None:
        """Guards against a null list of tenants that opens all routes to any key."""
        weight = {"backend": "desk", "weight": 1}
        for place, fields in (
            ("$.tenants", {"tenants": None}),
            ("$.tenants[0].priority", {"tenants": [{"name": "a", "priority": None}]}),
            ("$.tenants[0].api_keys", {"tenants": [{"name": "a", "api_keys": None}]}),
            (
                "$.routes[0].weighted_backends",
                {"routes": [{**ROUTE, "weighted_backends": None}]},
            ),
            (
                "$.routes[0].backend",
                {"routes": [{**ROUTE, "backend": None, "weighted_backends": [weight]}]},
            ),
            (
                "$.backends[0].runtime",
                {"backends": [{"name": "desk", "runtime": None}]},
            ),
        ):
            with self.subTest(place):
                response = Control().call(
                    "PUT", "/-/config", encode({**CONFIG, **fields})
                )
                self.assertEqual(response.status, 400)
                self.assertIn(f"got `null` - at `{place}`", response.body.decode())

    def test_an_empty_key(self) -> None:
        """Guards against a tenant whose key callers without one can send."""
        tenants = [{"name": "a", "api_keys": ["secret", ""]}]
        response = Control().call(
            "PUT", "/-/config", encode({**CONFIG, "tenants": tenants})
        )
        self.assertEqual(response.status, 400)
        self.assertIn("workspaces[0] (a)", response.body.decode())
        self.assertNotIn("secret", response.body.decode())

    def test_weights_that_add_up_to_nothing(self) -> None:
        """Guards against a route that keeps a service its weights took away."""
        for weights in ([], [{"backend": "desk", "weight": 0}]):
            with self.subTest(weights):
                route = {**ROUTE, "weighted_backends": weights}
                response = Control().call(
                    "PUT", "/-/config", encode({**CONFIG, "routes": [route]})
                )
                self.assertEqual(response.status, 400)
                self.assertIn("routes[0] (r1)", response.body.decode())

    def test_odd_rollouts(self) -> None:
        """Guards against an order that gets no answer."""
        for name, member in (("nested", NESTED), ("number", b"1" + LONG_NUMBER)):
            with self.subTest(name):
                body = b'{"backend":"desk","target":"v2","duration_s":12,"x":%s}'
                if name == "number":
                    body = b'{"backend":"desk","target":"v2","duration_s":%s}'

                response = Control().call("POST", "/-/rollouts", body % member)
                self.assertEqual(response.status, 400)


class HeaderTest(unittest.TestCase):
    """Numbers in the headers of callers and relays."""

    def test_counts_that_no_message_holds(self) -> None:
        """Guards against reports to controls that can't be encoded any more."""
        for text, expected in (
            ("800,40", (800, 40)),
            ("1e30,40", (0, 40)),
            ("9" * 5_000 + ",40", (0, 40)),
            ("-1e30,-5", (0, 0)),
            ("nan,inf", (0, 0)),
        ):
            with self.subTest(text[:20]):
                facts = read_request([(TOKENS, text.encode())])
                found = facts.prompt_tokens, facts.output_tokens
                self.assertEqual(found, expected)

    def test_counts_of_a_relay(self) -> None:
        """Guards against a number that is too long to be converted."""
        for value, expected in ((b"2", 2), (b"9" * 5_000, None), (b"-1", None)):
            with self.subTest(value[:20]):
                _, count = read_count([(RUNS_HEADER, value)], RUNS_HEADER)
                self.assertEqual(count, expected)


def encode_members(fields: dict[str, Any]) -> bytes:
    """Encode the members of an object without its braces."""
    return json.dumps(fields).encode()[1:-1]


if __name__ == "__main__":
    unittest.main()
