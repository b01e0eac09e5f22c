"""Tests of the validation of routing documents, and of lookups in them."""

from __future__ import annotations

import unittest

from waxwingwell.routing.lookup import find_route
from waxwingwell.routing.lookup import find_workspace
from waxwingwell.routing.lookup import index_document
from waxwingwell.routing.records import Target
from waxwingwell.routing.records import Workspace
from waxwingwell.routing.validation import find_document_problems

from .factories import make_document
from .factories import make_route


class ValidationTest(unittest.TestCase):
    """Each finding on a document is reported with its place."""

    def test_findings(self) -> None:
        team = Workspace(name="team", keys=("k1",))
        other = Workspace(name="other", keys=("k1",))
        for name, document, places in (
            ("valid", make_document(), []),
            (
                "unknown service",
                make_document(routes=(make_route(targets=(Target("gone", 1),)),)),
                ["routes[0] (r1)"],
            ),
            (
                "weights of 0",
                make_document(routes=(make_route(targets=(Target("chat", 0),)),)),
                ["routes[0] (r1)"],
            ),
            (
                "no targets",
                make_document(routes=(make_route(targets=()),)),
                ["routes[0] (r1)"],
            ),
            (
                "zero timeout",
                make_document(routes=(make_route(timeout=0.0),)),
                ["routes[0] (r1)"],
            ),
            (
                "duplicate host and prefix",
                make_document(routes=(make_route(), make_route(name="r2"))),
                ["routes"],
            ),
            (
                "shared key",
                make_document(workspaces=(team, other)),
                ["workspaces[1] (other)"],
            ),
            (
                "key shared under one name",
                make_document(workspaces=(team, team)),
                ["workspaces[1] (team)"],
            ),
            (
                "key repeated in one workspace",
                make_document(workspaces=(Workspace(name="a", keys=("k1", "k1")),)),
                [],
            ),
            (
                "empty key",
                make_document(workspaces=(Workspace(name="a", keys=("k1", "")),)),
                ["workspaces[0] (a)"],
            ),
            (
                "several at once",
                make_document(
                    routes=(make_route(timeout=0.0, targets=(Target("x", 0),)),),
                    workspaces=(team, other),
                ),
                ["routes[0] (r1)"] * 3 + ["workspaces[1] (other)"],
            ),
        ):
            with self.subTest(name):
                found = [finding.place for finding in find_document_problems(document)]
                self.assertEqual(found, places)

    def test_no_finding_shows_a_key(self) -> None:
        pair = tuple(Workspace(name=one, keys=("secret",)) for one in ("a", "b"))
        for finding in find_document_problems(make_document(workspaces=pair)):
            self.assertNotIn("secret", f"{finding.place}{finding.message}")


class LookupTest(unittest.TestCase):
    """Lookup of routes by longest prefix, and of workspaces by key."""

    def test_routes(self) -> None:
        index = index_document(
            make_document(
                routes=(
                    make_route(name="short", prefix="/a/"),
                    make_route(name="long", prefix="/a/b/"),
                    make_route(name="else", host="b.example", prefix="/"),
                )
            )
        )
        for host, target, name in (
            ("a.example", "/a/x", "short"),
            ("a.example", "/a/b/x", "long"),
            ("a.example", "/a/b/", "long"),
            ("a.example", "/a/bb/x", "short"),
            ("a.example", "/a", None),
            ("a.example", "/c/", None),
            ("a.example", "/c?x=/a/", None),
            ("b.example", "/anything", "else"),
            ("c.example", "/a/x", None),
        ):
            with self.subTest(host + target):
                route = find_route(index, host, target)
                self.assertEqual(route.name if route else None, name)

    def test_workspaces(self) -> None:
        index = index_document(make_document())
        for key, name in (("k1", "team"), ("k2", None), ("", None)):
            with self.subTest(key):
                found = find_workspace(index, key)
                self.assertEqual(found.name if found else None, name)

    def test_an_empty_key_is_no_key(self) -> None:
        """Guards against callers without a key under a document stored earlier."""
        team = Workspace(name="team", keys=("", "k1"))
        index = index_document(make_document(workspaces=(team,)))
        self.assertIsNone(find_workspace(index, ""))
        self.assertIs(find_workspace(index, "k1"), team)
