"""Versions of the soak test's upstreams, with their flaws."""

from __future__ import annotations

import random
import unittest
from typing import ClassVar

from bench.soak.versions import NO_TROUBLE
from bench.soak.versions import Trouble
from bench.soak.versions import Version
from bench.soak.versions import draw_effect
from bench.soak.versions import draw_version
from bench.soak.versions import repair


DRAWS = 400


class VersionsTest(unittest.TestCase):
    """Effects of flaws and of trouble on single responses."""

    CASES: ClassVar[dict[str, tuple[Version, Trouble, str, int, float, set[str]]]] = {
        # name: (version, trouble, path, running, now, effects that occur)
        "good": (Version(), NO_TROUBLE, "/read/1", 9, 5.0, {"none"}),
        "fails": (
            Version(flaw="fails", failed_share=0.5),
            NO_TROUBLE,
            "/read/1",
            1,
            5.0,
            {"none", "flawed failure"},
        ),
        "slow": (
            Version(flaw="slow", slow_share=0.5, slowdown=4.0),
            NO_TROUBLE,
            "/read/1",
            1,
            5.0,
            {"none", "flawed slowness"},
        ),
        "crowded": (
            Version(flaw="under load", failed_share=1.0, crowd=2),
            NO_TROUBLE,
            "/stream/1",
            3,
            5.0,
            {"flawed failure"},
        ),
        "not crowded": (
            Version(flaw="under load", failed_share=1.0, crowd=2),
            NO_TROUBLE,
            "/stream/1",
            2,
            5.0,
            {"none"},
        ),
        "its kind": (
            Version(flaw="one kind", failed_share=1.0, kind="read"),
            NO_TROUBLE,
            "/read/1",
            1,
            5.0,
            {"flawed failure"},
        ),
        "another kind": (
            Version(flaw="one kind", failed_share=1.0, kind="read"),
            NO_TROUBLE,
            "/order/1",
            1,
            5.0,
            {"none"},
        ),
        "not yet bad": (
            Version(flaw="late", failed_share=1.0, bad_from=5.0),
            NO_TROUBLE,
            "/read/1",
            1,
            4.9,
            {"none"},
        ),
        "turned bad": (
            Version(flaw="late", failed_share=1.0, bad_from=5.0),
            NO_TROUBLE,
            "/read/1",
            1,
            5.0,
            {"flawed failure"},
        ),
        "repaired": (
            repair(Version(flaw="fails", failed_share=1.0)),
            NO_TROUBLE,
            "/read/1",
            1,
            5.0,
            {"none"},
        ),
        "trouble": (
            Version(),
            Trouble(failed_share=0.5),
            "/read/1",
            1,
            5.0,
            {"none", "failure"},
        ),
        "slow trouble": (
            Version(),
            Trouble(slowdown=3.0),
            "/read/1",
            1,
            5.0,
            {"slowness"},
        ),
    }

    def test_effects(self) -> None:
        for name, (
            version,
            trouble,
            path,
            running,
            now,
            expected,
        ) in self.CASES.items():
            with self.subTest(name):
                rng = random.Random(1)
                effects = set()
                for _ in range(DRAWS):
                    one = draw_effect(version, trouble, path, running, now, rng)
                    blame = "flawed " if one.is_flawed else ""
                    kind = "slowness" if one.slowdown > 1.0 else "none"
                    effects.add(f"{blame}{'failure' if one.fails else kind}")

                self.assertEqual(effects, expected)

    def test_drawn_versions_have_every_flaw_of_their_service(self) -> None:
        for service, special in (("chat", "under load"), ("desk", "one kind")):
            with self.subTest(service):
                rng = random.Random(1)
                drawn = [
                    draw_version(rng, "v2", service, 10.0, 50.0) for _ in range(DRAWS)
                ]
                self.assertEqual(
                    {one.flaw for one in drawn}, {"", "fails", "slow", "late", special}
                )
                for one in drawn:
                    shares = one.failed_share, one.slow_share
                    self.assertEqual(any(shares), bool(one.flaw))
                    self.assertEqual(one.bad_from > 50.0, one.flaw == "late")
                    self.assertEqual(one.crowd > 0, one.flaw == "under load")
                    self.assertEqual(bool(one.kind), one.flaw == "one kind")


if __name__ == "__main__":
    unittest.main()
