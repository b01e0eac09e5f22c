"""Settings are validated as a whole, and every fault names its place."""

from __future__ import annotations

import json
import unittest
from typing import Any

from returns.result import Failure
from returns.result import Success

from waxwingwell.adapters.settings import read_settings
from waxwingwell.keys import hash_key


ENTRY: dict[str, Any] = {
    "role": "entry",
    "node": "entry-1",
    "data_centre": "bole",
    "callers": {"port": 1},
    "upstreams": {"port": 2},
    "links": {"port": 3},
    "control": [{"node": "control-1", "host": "10.0.0.1", "port": 4}],
}
CONTROL: dict[str, Any] = {
    "role": "control",
    "node": "control-1",
    "data_centre": "bole",
    "data_folder": "data",
    "links": {},
    "admin": {},
    "members": [{"node": "control-1"}],
}

BAD: tuple[tuple[str, dict[str, Any], tuple[str, ...]], ...] = (
    ("no role", {}, ("(whole)",)),
    ("unknown role", {"role": "boss"}, ("(whole)",)),
    ("unknown key", {**ENTRY, "port": 1}, ("entry.port",)),
    (
        "two faults",
        {**ENTRY, "node": "", "callers": {"port": 70000}},
        ("entry.node", "entry.callers.port"),
    ),
    (
        "a host name",
        {**ENTRY, "links": {"host": "vm-1.example"}},
        ("entry.links.host",),
    ),
    (
        "links with TLS, but any peer",
        {**ENTRY, "links": {"tls": {"certificate": "c", "private_key": "k"}}},
        ("entry.links.tls.authority",),
    ),
    ("no control", {**ENTRY, "control": []}, ("entry.control",)),
    ("not a member", {**CONTROL, "node": "control-9"}, ("control",)),
    (
        "member twice",
        {**CONTROL, "members": [{"node": "control-1"}, {"node": "control-1"}]},
        ("control",),
    ),
    (
        "embedded beyond loopback",
        {"role": "embedded", "host": "0.0.0.0"},
        ("embedded.host",),
    ),
    (
        "operator key in clear",
        {**CONTROL, "operators": [{"name": "a", "digest": "secret"}]},
        ("control.operators.0.digest",),
    ),
    *(
        (
            f"operator key for the workspace {workspace!r}",
            {
                **CONTROL,
                "operators": [
                    {"name": "a", "digest": hash_key("k"), "workspace": workspace}
                ],
            },
            ("control.operators.0.workspace",),
        )
        for workspace in ("", None)
    ),
    (
        "operator key that is empty",
        {**CONTROL, "operators": [{"name": "a", "digest": hash_key("")}]},
        ("control.operators.0.digest",),
    ),
)


class SettingsTest(unittest.TestCase):
    """Valid and invalid settings."""

    def test_good(self) -> None:
        for settings in (ENTRY, CONTROL, {"role": "embedded"}):
            with self.subTest(settings["role"]):
                result = read_settings(json.dumps(settings).encode())
                self.assertIsInstance(result, Success)

    def test_bad(self) -> None:
        for name, settings, places in BAD:
            with self.subTest(name):
                result = read_settings(json.dumps(settings).encode())
                assert isinstance(result, Failure)
                found = tuple(item.place for item in result.failure())
                self.assertEqual(found, places)
