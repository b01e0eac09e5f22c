"""Tests of the versions that a session may use."""

from __future__ import annotations

import unittest
from typing import Any

from waxwingwell.routing.versions import LEASE_SECONDS
from waxwingwell.routing.versions import holds_lease
from waxwingwell.routing.versions import list_allowed_upstreams

from .factories import make_announcement
from .factories import make_rollout


FORMER = make_announcement("a", version="v1")
TARGET = make_announcement("b", version="v2")
EARLIER = make_announcement("c", version="v0")
"""Upstream of a version that was rolled back, or is not ordered yet."""
ALL = (FORMER, TARGET, EARLIER)
FULL = make_rollout(share=1.0)
ORDERED = make_rollout(share=0.0)
REVERTED = make_rollout(state="reverted", share=0.0)
COMPLETED = make_rollout(state="completed", share=1.0)


def list_versions(*upstreams: Any, **fields: Any) -> set[str]:
    """Return the versions that a session may use."""
    defaults: dict[str, Any] = {
        "rollout": None,
        "current": "v1",
        "session": "s",
        "last": None,
        "session_life": 5.0,
        "now": 10.0,
    }
    found = list_allowed_upstreams(upstreams, **{**defaults, **fields})
    return {one.version for one in found}


class VersionTest(unittest.TestCase):
    """Versions in and apart from a roll-out."""

    def test_only_the_version_in_use_stands_in_for_itself(self) -> None:
        """Guards against another version that is not ordered, or is rolled back."""
        for name, rollout, current, upstreams, expected in (
            ("none ordered", None, "v1", ALL, {"v1"}),
            ("none ordered, missing", None, "v1", (TARGET, EARLIER), set()),
            ("none ordered, not known", None, "", (TARGET, EARLIER), {"v0", "v2"}),
            ("no share", ORDERED, "v1", ALL, {"v1"}),
            ("no share, missing", ORDERED, "v1", (TARGET, EARLIER), set()),
            ("no share, not known", ORDERED, "", (TARGET, EARLIER), {"v0"}),
            ("rolled back", REVERTED, "v1", ALL, {"v1"}),
            ("rolled back, missing", REVERTED, "v1", (TARGET, EARLIER), set()),
            ("rolled back, not known", REVERTED, "", (TARGET, EARLIER), {"v0"}),
            ("completed", COMPLETED, "v1", ALL, {"v2"}),
            ("completed, target missing", COMPLETED, "v1", (FORMER, EARLIER), {"v1"}),
            ("no upstream", FULL, "v1", (), set()),
        ):
            with self.subTest(name):
                found = list_versions(*upstreams, rollout=rollout, current=current)
                self.assertEqual(found, expected)

    def test_a_share_without_a_lease(self) -> None:
        """Guards against a version rolled back unknown to a gateway that is cut off."""
        for name, rollout, leased, unreachable, expected in (
            ("leased", FULL, True, (), {"v2"}),
            ("not leased", FULL, False, (), {"v1"}),
            ("not leased, former has ended", FULL, False, ("a",), {"v2"}),
            ("leased, former has ended", ORDERED, True, ("a",), {"v1"}),
            ("no share, former out of reach", ORDERED, False, ("a",), {"v1"}),
            ("completed", COMPLETED, False, (), {"v2"}),
            ("rolled back, former out of reach", REVERTED, False, ("a",), {"v1"}),
        ):
            with self.subTest(name):
                found = list_versions(
                    FORMER,
                    TARGET,
                    rollout=rollout,
                    leased=leased,
                    unreachable=unreachable,
                )
                self.assertEqual(found, expected)

    def test_a_lease_ends(self) -> None:
        for seconds, expected in ((0.0, True), (LEASE_SECONDS, True), (3.1, False)):
            with self.subTest(seconds=seconds):
                self.assertIs(holds_lease(10.0, 10.0 + seconds), expected)


if __name__ == "__main__":
    unittest.main()
