"""Tests of callers and operators that send an empty key, or none."""

from __future__ import annotations

import unittest
from types import SimpleNamespace
from typing import Any

from waxwingwell.adapters.control.admin import find_operator
from waxwingwell.adapters.entry.callers import CallerKeys
from waxwingwell.adapters.entry.callers import find_workspace
from waxwingwell.adapters.entry.callers import index_keys
from waxwingwell.adapters.entry.replies import Problem
from waxwingwell.adapters.settings import OperatorKey
from waxwingwell.keys import hash_key
from waxwingwell.records import KeyHash
from waxwingwell.records import WorkspaceConfig
from waxwingwell.records import WorkspaceId


KEY = "k1"
DIGESTS = (hash_key(""), hash_key(KEY))
"""Digests that settings or a workspace list; the first is that of an empty key."""
HEADERS: tuple[tuple[str, str | None, bool], ...] = (
    ("held key", f"Bearer {KEY}", True),
    ("unknown key", "Bearer other", False),
    ("empty key", "Bearer ", False),
    ("empty header", "", False),
    ("no header", None, False),
)
"""Names, ``Authorization`` headers, and whether they are those of a known key."""


def make_operator(digest: str) -> OperatorKey:
    """Return an operator's key as settings that were not validated may hold it."""
    return OperatorKey.model_construct(name=digest[:4], digest=digest)


class EmptyKeyTest(unittest.TestCase):
    """A digest that somebody made of an empty key, such as of a variable not set."""

    def test_operators(self) -> None:
        """Guards against everybody who may operate the system without a key."""
        context: Any = SimpleNamespace(
            settings=SimpleNamespace(operators=tuple(map(make_operator, DIGESTS)))
        )
        for name, header, known in HEADERS:
            with self.subTest(name):
                request = SimpleNamespace(getHeader=lambda _, header=header: header)
                found = find_operator(context, request)
                self.assertEqual(found is not None, known)

    def test_callers(self) -> None:
        """Guards against callers that are served for a workspace without its key."""
        workspace = WorkspaceId("demo")
        listed = tuple(KeyHash(digest[:4], digest) for digest in DIGESTS)
        config = WorkspaceConfig(
            workspace=workspace, revision=1, allowed=(), kinds=(), keys=listed
        )
        keys = CallerKeys()
        index_keys(keys, {workspace: config})
        for name, header, known in HEADERS:
            with self.subTest(name):
                if known:
                    self.assertEqual(find_workspace(keys, header or ""), workspace)
                    continue

                with self.assertRaises(Problem) as raised:
                    find_workspace(keys, header or "")

                self.assertEqual(raised.exception.status, 401)


if __name__ == "__main__":
    unittest.main()
