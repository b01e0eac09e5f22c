"""Tests of decoding the platform's configurations, heartbeats and settings."""

from __future__ import annotations

import unittest
from typing import Any

import msgspec

from waxwingwell.routing.fleet import UpstreamState
from waxwingwell.routing.lookup import index_document
from waxwingwell.routing.lookup import must_have_key
from waxwingwell.routing.records import RouteKind
from waxwingwell.routing.records import Target
from waxwingwell.routing.validation import find_document_problems
from waxwingwell_platform.documents import read_document
from waxwingwell_platform.settings import read_gateway
from waxwingwell_platform.settings import read_registry
from waxwingwell_platform.upstreams import read_heartbeat
from waxwingwell_platform.upstreams import read_leave


ROUTE: dict[str, Any] = {
    "name": "r1",
    "hostname": "A.example",
    "path_prefix": "/p/",
    "route_type": "non_idempotent",
    "timeout_ms": 600,
    "target_latency_ms": 120,
    "backend": "desk",
}
CONFIG: dict[str, Any] = {
    "version": 3,
    "routes": [ROUTE],
    "backends": [{"name": "desk"}],
    "tenants": [{"name": "team", "api_keys": ["k1"], "priority": 1}],
}
HEARTBEAT: dict[str, Any] = {
    "backend": "desk",
    "address": "10.0.0.9:8080",
    "zone": "north",
    "version": "v1",
    "slots": 6,
    "state": "healthy",
    "sequence": 4,
    "born": 1700000000000,
}

WALL_TIME = 1700000100.0


class DocumentTest(unittest.TestCase):
    """Configurations."""

    def test_a_key_is_needed_while_there_is_a_list_of_tenants(self) -> None:
        """Guards against gateways that serve any key once the last tenant has gone."""
        without = {name: CONFIG[name] for name in CONFIG if name != "tenants"}
        for name, config, needed in (
            ("tenants", CONFIG, True),
            ("an empty list", {**CONFIG, "tenants": []}, True),
            ("no list", without, False),
        ):
            with self.subTest(name):
                index = index_document(read_document(msgspec.json.encode(config)))
                [route] = index.document.routes
                self.assertIs(must_have_key(index, route), needed)
                anonymous = msgspec.structs.replace(route, anonymous=True)
                self.assertFalse(must_have_key(index, anonymous))

    def test_a_configuration(self) -> None:
        document = read_document(msgspec.json.encode(CONFIG))
        [route] = document.routes
        self.assertEqual(document.version, 3)
        self.assertIs(route.kind, RouteKind.ONCE)
        self.assertEqual(route.host, "a.example")
        self.assertEqual(route.targets, (Target("desk", 1),))
        self.assertEqual((route.timeout, route.objective), (0.6, 0.12))
        self.assertEqual(document.workspaces[0].keys, ("k1",))
        self.assertEqual(find_document_problems(document), ())

    def test_weights_take_precedence_over_a_single_service(self) -> None:
        weights = [{"backend": "desk", "weight": 9}, {"backend": "new", "weight": 1}]
        route = {**ROUTE, "weighted_backends": weights}
        document = read_document(msgspec.json.encode({**CONFIG, "routes": [route]}))
        expected = (Target("desk", 9), Target("new", 1))
        self.assertEqual(document.routes[0].targets, expected)

    def test_invalid_configurations_are_rejected(self) -> None:
        complete = msgspec.json.encode(CONFIG)
        for name, body in (
            ("truncated", complete[:-3]),
            ("empty", b""),
            ("no object", b"[]"),
            ("no version", msgspec.json.encode({"routes": [], "backends": []})),
            (
                "unknown kind",
                msgspec.json.encode(
                    {**CONFIG, "routes": [{**ROUTE, "route_type": "maybe"}]}
                ),
            ),
        ):
            with self.subTest(name), self.assertRaises(msgspec.DecodeError):
                read_document(body)


class HeartbeatTest(unittest.TestCase):
    """Heartbeats and deregistrations."""

    def test_heartbeats(self) -> None:
        for state, expected in (
            ("healthy", UpstreamState.SERVING),
            ("draining", UpstreamState.LEAVING),
        ):
            with self.subTest(state=state):
                body = msgspec.json.encode({**HEARTBEAT, "state": state, "other": [1]})
                announcement = read_heartbeat("i-1", body, WALL_TIME)
                self.assertEqual(announcement.state, expected)
                self.assertEqual(
                    (announcement.host, announcement.port), ("10.0.0.9", 8080)
                )
                self.assertEqual(
                    (announcement.incarnation, announcement.sequence),
                    (HEARTBEAT["born"], 4),
                )

    def test_other_formats_are_rejected(self) -> None:
        for name, change in (
            ("no address", {"address": None}),
            ("no port", {"address": "10.0.0.9"}),
            ("unknown state", {"state": "resting"}),
            ("a word for a number", {"sequence": "four"}),
            ("a list for a name", {"backend": ["desk"]}),
        ):
            with self.subTest(name), self.assertRaises(msgspec.DecodeError):
                read_heartbeat(
                    "i-1", msgspec.json.encode({**HEARTBEAT, **change}), WALL_TIME
                )

    def test_deregistrations(self) -> None:
        for body, expected in ((b"", None), (b"{}", None), (b'{"born":7}', 7)):
            with self.subTest(body=body):
                self.assertEqual(read_leave(body, WALL_TIME), expected)


class SettingsTest(unittest.TestCase):
    """Settings of gateways and registries."""

    def test_settings(self) -> None:
        fields: dict[str, Any] = {
            "node_name": "e1",
            "ip": "10.0.0.1",
            "zone": "north",
            "internal_ports": [7000, 7010],
            "seeds": ["10.0.0.2:9000", "10.0.0.3:9000"],
            "listen": {
                "frontend": "10.0.0.1:80",
                "readiness": "10.0.0.1:81",
                "admin": "10.0.0.1:82",
            },
            "bounds": {"grace_s": 6, "revoke_ms": 4000, "revoke_fail_closed": True},
            "data_dir": "data",
            "bootstrap": True,
            "fault_tolerance": {"machine_count": 3},
        }
        gateway = read_gateway(fields)
        self.assertEqual(gateway.callers, ("10.0.0.1", 80))
        self.assertEqual(gateway.controls, ("10.0.0.2", "10.0.0.3"))
        self.assertEqual((gateway.grace, gateway.revoke_after), (6, 4.0))
        self.assertTrue(gateway.fail_closed)
        registry = read_registry(fields)
        self.assertEqual(registry.admin, ("10.0.0.1", 82))
        self.assertTrue(registry.first_start)
        self.assertEqual(registry.tolerated_losses, 3)
        with self.assertRaises(KeyError):
            read_gateway({})
