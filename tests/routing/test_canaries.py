"""Tests of the upstreams on which a version is tried while its share is small."""

from __future__ import annotations

import random
import unittest
from typing import TYPE_CHECKING

from waxwingwell.routing.canaries import CANARY_LOAD
from waxwingwell.routing.canaries import count_canaries
from waxwingwell.routing.canaries import list_canaries
from waxwingwell.routing.canaries import prefer_canaries
from waxwingwell.routing.canaries import rank_upstreams

from .factories import make_announcement


if TYPE_CHECKING:
    from collections.abc import Collection

    from waxwingwell.routing.fleet import Announcement


ORDERED_AT = 100.0
SIZES = (1, 2, 3, 5, 9, 45, 200)
SHARES = (0.04, 0.08, 0.15, 0.3, 0.5, 0.9, 1.0)
DATA_CENTRES = ("north", "south", "west")


def make_target(count: int) -> list[Announcement]:
    """Return upstreams of a target version, spread over three data centres."""
    return [
        make_announcement(
            f"n{number}", version="v2", data_centre=DATA_CENTRES[number % 3]
        )
        for number in range(count)
    ]


def list_names(
    target: list[Announcement], share: float, at: float = ORDERED_AT
) -> set[str]:
    """Return the names of the canaries at a share."""
    ranked = rank_upstreams(target, at)
    return {one.upstream for one in list_canaries(ranked, share)}


class CanaryTest(unittest.TestCase):
    """Subsets of a target's upstreams, which are the same at all gateways."""

    def test_sizes(self) -> None:
        """Guards against a subset that is too small or that never sees usual load."""
        for upstreams, expected in (
            (1, (1, 1, 1, 1, 1, 1, 1)),
            (2, (2, 2, 2, 2, 2, 2, 2)),
            (3, (2, 2, 2, 2, 2, 3, 3)),
            (5, (2, 2, 2, 2, 4, 5, 5)),
            (9, (2, 2, 2, 4, 6, 9, 9)),
            (45, (3, 5, 9, 18, 30, 45, 45)),
            (200, (11, 22, 40, 80, 134, 200, 200)),
        ):
            for share, size in zip(SHARES, expected, strict=True):
                with self.subTest(upstreams=upstreams, share=share):
                    self.assertEqual(count_canaries(upstreams, share), size)
                    names = list_names(make_target(upstreams), share)
                    self.assertEqual(len(names), size)

    def test_canaries_bear_less_than_usual(self) -> None:
        """Guards against a good version that fails because its canaries are few."""
        for upstreams in SIZES:
            for share in SHARES:
                with self.subTest(upstreams=upstreams, share=share):
                    load = share * upstreams / count_canaries(upstreams, share)
                    self.assertLessEqual(load, max(CANARY_LOAD, share) + 1e-9)

    def test_a_growing_share_only_adds_upstreams(self) -> None:
        """Guards against sessions that leave their upstream as the share grows."""
        for upstreams in SIZES:
            with self.subTest(upstreams=upstreams):
                target = make_target(upstreams)
                held: set[str] = set()
                for share in SHARES:
                    names = list_names(target, share)
                    self.assertLessEqual(held, names)
                    held = names

                self.assertEqual(len(held), upstreams)

    def test_gateways_agree(self) -> None:
        """Guards against canaries that are spread over all upstreams after all.

        Gateways hear of upstreams in other orders, and some lack one or two.
        """
        draw = random.Random(3)
        for upstreams in (9, 45, 200):
            for missing in (0, 1, 2):
                with self.subTest(upstreams=upstreams, missing=missing):
                    target = make_target(upstreams)
                    names = list_names(target, 0.15)
                    for _ in range(20):
                        known = draw.sample(target, upstreams - missing)
                        differing = list_names(known, 0.15) ^ names
                        self.assertLessEqual(len(differing), 2 * missing)

    def test_all_upstreams_serve_as_canaries_over_many_rollouts(self) -> None:
        """Guards against a fault of a few upstreams that decides each roll-out."""
        target = make_target(9)
        counts = dict.fromkeys((one.upstream for one in target), 0)
        for order in range(300):
            for name in list_names(target, 0.08, 1_000.0 + order):
                counts[name] += 1

        for count in counts.values():
            self.assertAlmostEqual(count, 300 * 2 / 9, delta=30)

    def test_data_centres_are_represented_in_proportion(self) -> None:
        """Guards against a version that seems slow as all canaries are remote."""
        for upstreams, share, each in ((9, 0.2, 1), (45, 0.2, 4), (45, 0.4, 8)):
            with self.subTest(upstreams=upstreams, share=share):
                ranked = rank_upstreams(make_target(upstreams), ORDERED_AT)
                found = [one.data_centre for one in list_canaries(ranked, share)]
                for data_centre in DATA_CENTRES:
                    self.assertEqual(found.count(data_centre), each)


def prefer(
    target: list[Announcement], usable: list[Announcement], unready: Collection[str]
) -> list[str]:
    """Return the names of the upstreams among which a request of a share is placed."""
    ranked = rank_upstreams(target, ORDERED_AT)
    found = prefer_canaries(
        ranked, usable, 0.2, lambda one: one.upstream not in unready
    )
    return [one.upstream for one in found]


class PreferenceTest(unittest.TestCase):
    """Upstreams among which a request is placed."""

    def test_the_next_in_rank_replaces_a_canary(self) -> None:
        """Guards against requests that fail though the target has other upstreams."""
        target = make_target(5)
        ranked = rank_upstreams(target, ORDERED_AT)
        first, second, third, fourth, fifth = (one.upstream for one in ranked)
        for name, unusable, unready, expected in (
            ("all are fine", (), (), [first, second]),
            ("one is tried", (first,), (), [second, third]),
            ("one is full", (), (second,), [first, third]),
            ("tried and full", (first,), (second,), [third, fourth]),
            ("one is left", (first, second), (third, fourth), [fifth]),
            ("all are full", (), (first, second, third, fourth, fifth), None),
            ("all others are full", (first,), (second, third, fourth, fifth), None),
            ("none is usable", (first, second, third, fourth, fifth), (), []),
        ):
            with self.subTest(name):
                usable = [one for one in target if one.upstream not in unusable]
                if expected is None:
                    expected = [one.upstream for one in usable]

                self.assertEqual(prefer(target, usable, unready), expected)


if __name__ == "__main__":
    unittest.main()
