"""Tests of the estimate of cached prompt blocks, and of their reports."""

from __future__ import annotations

import unittest

from waxwingwell.routing.load import MAX_TOTAL_AGE_SECONDS
from waxwingwell.routing.prefixes import BLOCK_TTL_SECONDS
from waxwingwell.routing.prefixes import MAX_BLOCKS
from waxwingwell.routing.prefixes import MAX_REPORTED_BLOCKS
from waxwingwell.routing.prefixes import MIN_REPORTING_SECONDS
from waxwingwell.routing.prefixes import REPORT_AGAIN_SECONDS
from waxwingwell.routing.prefixes import PrefixTable
from waxwingwell.routing.prefixes import apply_reported_blocks
from waxwingwell.routing.prefixes import estimate_cached_tokens
from waxwingwell.routing.prefixes import list_unreported_blocks
from waxwingwell.routing.prefixes import mark_reported
from waxwingwell.routing.prefixes import record_blocks


BLOCKS = (("shared", 500), ("team", 4_000), ("own", 100))


def report(sender: PrefixTable, receiver: PrefixTable, now: float) -> None:
    """Report one gateway's blocks to another gateway."""
    reported = list_unreported_blocks(sender)
    mark_reported(sender, reported)
    apply_reported_blocks(receiver, reported, now)


def estimate(
    table: PrefixTable, upstream: str, now: float, *, preferred: bool
) -> float:
    """Return the expected cached tokens of the prompt at an upstream."""
    return estimate_cached_tokens(
        table, upstream, "small", BLOCKS, now, preferred=preferred
    )


class ReportedBlocksTest(unittest.TestCase):
    """Blocks that one gateway reports to another."""

    def test_shared_blocks_are_reported(self) -> None:
        """Guards against a prefill at each engine, as each gateway knows only its own.

        Only blocks that prompts share are reported.
        """
        for name, upstream, now, expected in (
            ("same upstream", "u1", 11.0, 4_500),
            ("other upstream", "u2", 11.0, 0),
            ("evicted", "u1", 10.0 + BLOCK_TTL_SECONDS + 0.1, 0),
        ):
            with self.subTest(name):
                first, second = PrefixTable(), PrefixTable()
                record_blocks(first, "u1", "small", BLOCKS, 10.0)
                report(first, second, 10.0)
                found = estimate(second, upstream, now, preferred=False)
                self.assertEqual(found, expected)

    def test_the_sender_includes_the_last_block(self) -> None:
        table = PrefixTable()
        record_blocks(table, "u1", "small", BLOCKS, 10.0)
        self.assertEqual(estimate(table, "u1", 11.0, preferred=False), 4_600)
        self.assertEqual(len(list_unreported_blocks(table)), 2)

    def test_a_block_is_reported_at_intervals(self) -> None:
        """Guards against traffic for blocks that were reported recently."""
        for name, pause, count in (
            ("immediately", 0.1, 0),
            ("later", REPORT_AGAIN_SECONDS + 0.1, 2),
        ):
            with self.subTest(name):
                first, second = PrefixTable(), PrefixTable()
                record_blocks(first, "u1", "small", BLOCKS, 10.0)
                report(first, second, 10.0)
                record_blocks(second, "u1", "small", BLOCKS, 10.0 + pause)
                self.assertEqual(len(list_unreported_blocks(second)), count)

    def test_tables_are_bounded(self) -> None:
        table = PrefixTable()
        for place in range(MAX_BLOCKS):
            blocks = ((f"a{place}", 10), (f"b{place}", 10))
            record_blocks(table, "u1", "small", blocks, 1.0)

        self.assertEqual(len(table.prefilled_at), MAX_BLOCKS)
        self.assertEqual(len(list_unreported_blocks(table)), MAX_REPORTED_BLOCKS)


class UnreportedBlocksTest(unittest.TestCase):
    """Blocks that no gateway has reported, at the preferred upstream."""

    def test_unreported_blocks_count_less_after_continuous_reports(self) -> None:
        for name, reported, now, assumed in (
            ("no reports", (), 20.0, True),
            ("for a short time", (19.0, 19.5), 20.0, True),
            ("for long", range(20 - int(MIN_REPORTING_SECONDS), 21), 20.0, False),
            ("reports stopped", range(21), 20.0 + MAX_TOTAL_AGE_SECONDS + 0.1, True),
        ):
            with self.subTest(name):
                table = PrefixTable()
                for at in reported:
                    apply_reported_blocks(table, (), float(at))

                found = estimate(table, "u1", now, preferred=True)
                self.assertEqual(found > 1_000, assumed)
                self.assertEqual(estimate(table, "u1", now, preferred=False), 0.0)


if __name__ == "__main__":
    unittest.main()
