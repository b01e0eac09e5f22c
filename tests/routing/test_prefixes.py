"""Which parts of prompts gateways expect at upstreams, as they tell each other."""

from __future__ import annotations

import unittest

from waxwingwell.routing.load import MAX_TOTAL_AGE_SECONDS
from waxwingwell.routing.prefixes import BLOCK_TTL_SECONDS
from waxwingwell.routing.prefixes import MAX_BLOCKS
from waxwingwell.routing.prefixes import MAX_REPORTED_BLOCKS
from waxwingwell.routing.prefixes import MIN_REPORTING_SECONDS
from waxwingwell.routing.prefixes import REPORT_AGAIN_SECONDS
from waxwingwell.routing.prefixes import PrefixTable
from waxwingwell.routing.prefixes import drop_news
from waxwingwell.routing.prefixes import estimate_cached_tokens
from waxwingwell.routing.prefixes import list_news
from waxwingwell.routing.prefixes import note_parts
from waxwingwell.routing.prefixes import take_told


PARTS = (("shared", 500), ("team", 4_000), ("own", 100))


def report(sender: PrefixTable, receiver: PrefixTable, now: float) -> None:
    """Let one gateway tell another what it has sent."""
    reported = list_news(sender)
    drop_news(sender, reported)
    take_told(receiver, reported, now)


def estimate(
    table: PrefixTable, upstream: str, now: float, *, preferred: bool
) -> float:
    """Return the tokens that an upstream need not read again."""
    return estimate_cached_tokens(
        table, upstream, "small", PARTS, now, preferred=preferred
    )


class ReportedBlocksTest(unittest.TestCase):
    """What one gateway knows of another's prompts."""

    def test_shared_parts_are_known_to_all(self) -> None:
        """Guards against prompts read at each engine, as each gateway knows its own."""
        for name, upstream, now, expected in (
            ("there", "u1", 11.0, 4_500),
            ("elsewhere", "u2", 11.0, 0),
            ("evicted by now", "u1", 10.0 + BLOCK_TTL_SECONDS + 0.1, 0),
        ):
            with self.subTest(name):
                first, second = PrefixTable(), PrefixTable()
                note_parts(first, "u1", "small", PARTS, 10.0)
                report(first, second, 10.0)
                found = estimate(second, upstream, now, preferred=False)
                self.assertEqual(found, expected)

    def test_the_sender_knows_its_own_part_too(self) -> None:
        table = PrefixTable()
        note_parts(table, "u1", "small", PARTS, 10.0)
        self.assertEqual(estimate(table, "u1", 11.0, preferred=False), 4_600)
        self.assertEqual(len(list_news(table)), 2)

    def test_a_part_is_told_once_in_a_while(self) -> None:
        """Guards against bytes for parts that all know of already."""
        for name, pause, count in (
            ("at once", 0.1, 0),
            ("later", REPORT_AGAIN_SECONDS + 0.1, 2),
        ):
            with self.subTest(name):
                first, second = PrefixTable(), PrefixTable()
                note_parts(first, "u1", "small", PARTS, 10.0)
                report(first, second, 10.0)
                note_parts(second, "u1", "small", PARTS, 10.0 + pause)
                self.assertEqual(len(list_news(second)), count)

    def test_tables_are_bounded(self) -> None:
        table = PrefixTable()
        for place in range(MAX_BLOCKS):
            parts = ((f"a{place}", 10), (f"b{place}", 10))
            note_parts(table, "u1", "small", parts, 1.0)

        self.assertEqual(len(table.prefilled_at), MAX_BLOCKS)
        self.assertEqual(len(list_news(table)), MAX_REPORTED_BLOCKS)


class UnreportedBlocksTest(unittest.TestCase):
    """Parts of which nobody has told, at the upstream that gateways prefer."""

    def test_silence_of_others_counts_once_they_have_told_for_a_while(self) -> None:
        for name, reported, now, assumed in (
            ("nobody tells", (), 20.0, True),
            ("for a moment", (19.0, 19.5), 20.0, True),
            ("for long", range(20 - int(MIN_REPORTING_SECONDS), 21), 20.0, False),
            ("no more", range(21), 20.0 + MAX_TOTAL_AGE_SECONDS + 0.1, True),
        ):
            with self.subTest(name):
                table = PrefixTable()
                for at in reported:
                    take_told(table, (), float(at))

                found = estimate(table, "u1", now, preferred=True)
                self.assertEqual(found > 1_000, assumed)
                self.assertEqual(estimate(table, "u1", now, preferred=False), 0.0)


if __name__ == "__main__":
    unittest.main()
