"""Tests of the replicated group inside a registry process."""

from __future__ import annotations

import unittest

from waxwingwell.adapters.registry.members import count_voters


class VoterTest(unittest.TestCase):
    """The number of voters."""

    def test_a_majority_is_left_after_the_losses(self) -> None:
        for losses, voters in ((0, 5), (1, 5), (2, 5), (3, 7), (4, 9)):
            with self.subTest(losses=losses):
                self.assertEqual(count_voters(losses), voters)
