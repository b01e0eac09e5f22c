"""Tests of documents that processes of an earlier release stored or sent."""

from __future__ import annotations

import unittest
import zlib
from typing import Any

import msgspec

from tests.adapters.gateway.support import make_gateway
from tests.adapters.registry.support import make_registry
from waxwingwell.adapters.gateway.steering import handle_cast
from waxwingwell.adapters.registry.members import make_machine
from waxwingwell.routing.messages import Publish
from waxwingwell.routing.messages import ShareRouting
from waxwingwell.routing.records import Document
from waxwingwell.state.routing import SavedRouting
from waxwingwell_platform.documents import read_document
from waxwingwell_platform.documents import requires_key

from .test_bodies import ROUTE


Fields = dict[str, Any]

WITHOUT: Fields = {
    "version": 3,
    "routes": [{**ROUTE, "path_prefix": "/chat/", "backend": "chat"}],
    "backends": [{"name": "chat"}],
}
TENANT: Fields = {**WITHOUT, "tenants": [{"name": "team", "api_keys": ["k1"]}]}
EMPTY: Fields = {**WITHOUT, "tenants": []}
NULL: Fields = {**WITHOUT, "tenants": None}
REFUSED: Fields = {**WITHOUT, "backends": [{"name": "chat", "runtime": None}]}
"""A configuration that earlier releases acknowledged."""
RELEASES: dict[str, Fields] = {"no word on keys": {}, "open": {"needs_key": False}}
"""What earlier releases stored of keys with a document that has no workspaces."""


def store(config: Fields, release: str) -> Fields:
    """Return a configuration's document as an earlier release stored it."""
    readable = {**config, "tenants": config.get("tenants") or []}
    stored: Fields = msgspec.to_builtins(
        read_document(msgspec.json.encode(readable)), builtin_types=(bytes,)
    )
    del stored["needs_key"]
    return {**stored, **RELEASES[release]}


def replay(stored: Fields, source: bytes) -> Document:
    """Return the document of a control that has applied a stored log."""
    command = Publish(document=msgspec.convert(stored, Document), source=source)
    entry = msgspec.to_builtins(command, builtin_types=(bytes,))
    context = make_registry().context
    context.requires_key = requires_key
    data = msgspec.msgpack.encode({**entry, "document": stored})
    make_machine(context).apply(1, data)
    assert context.state.document is not None
    return context.state.document


def restore(stored: Fields, source: bytes) -> Document:
    """Return the document of a control that has restored a checkpoint."""
    saved = SavedRouting(msgspec.convert(stored, Document), source, ())
    image = msgspec.to_builtins(saved, builtin_types=(bytes,))
    context = make_registry().context
    context.requires_key = requires_key
    data = msgspec.msgpack.encode({**image, "document": stored})
    make_machine(context).restore(data)
    assert context.state.document is not None
    return context.state.document


def ask(*encoded: bytes) -> int:
    """Return the status of a request with an unknown key, 0 if it is sent.

    Its gateway has received these documents from controls, in order: all of one
    version, at one index in the log.
    """
    gateway = make_gateway()
    gateway.context.index = None
    for document in encoded:
        body = ShareRouting(
            index=3, version=3, document=zlib.compress(document), rollouts=()
        )
        handle_cast(gateway.context, "control", body)

    return gateway.ask(X_Key="unknown").status


class EarlierReleaseTest(unittest.TestCase):
    """Processes that run beside those of an earlier release, or after them."""

    def test_what_a_control_reads_from_its_disk(self) -> None:
        """Guards against a list of tenants that an upgrade takes for none at all."""
        for name, config, source, status in (
            ("a tenant", TENANT, msgspec.json.encode(TENANT), 401),
            ("an empty list", EMPTY, msgspec.json.encode(EMPTY), 401),
            ("null", NULL, msgspec.json.encode(NULL), 401),
            ("unreadable", WITHOUT, b"", 401),
            ("no list", WITHOUT, msgspec.json.encode(WITHOUT), 0),
            ("no list, now refused", WITHOUT, msgspec.json.encode(REFUSED), 0),
        ):
            for release in RELEASES:
                stored = store(config, release)
                for read in (replay, restore):
                    with self.subTest(f"{name}, {release}, {read.__name__}"):
                        document = read(stored, source)
                        self.assertEqual(ask(msgspec.msgpack.encode(document)), status)

    def test_what_a_gateway_gets_from_a_control(self) -> None:
        """Guards against a gateway that takes a missing word on keys for open routes.

        A control does not send what its operator sent, so that it can't be read again.
        """
        for name, config, release, status in (
            ("a tenant", TENANT, "no word on keys", 401),
            ("a tenant", TENANT, "open", 401),
            ("no tenant", EMPTY, "no word on keys", 401),
            ("no tenant", EMPTY, "open", 0),
        ):
            with self.subTest(f"{name}, {release}"):
                encoded = msgspec.msgpack.encode(store(config, release))
                self.assertEqual(ask(encoded), status)

    def test_what_a_gateway_gets_once_the_controls_are_upgraded(self) -> None:
        """Guards against a gateway that keeps what an earlier release left open."""
        for name, config, release, status in (
            ("an empty list", EMPTY, "open", 401),
            ("no list", WITHOUT, "no word on keys", 0),
        ):
            with self.subTest(f"{name}, {release}"):
                stored = store(config, release)
                completed = replay(stored, msgspec.json.encode(config))
                before = msgspec.msgpack.encode(stored)
                self.assertNotEqual(ask(before), status)
                self.assertEqual(ask(before, msgspec.msgpack.encode(completed)), status)


if __name__ == "__main__":
    unittest.main()
