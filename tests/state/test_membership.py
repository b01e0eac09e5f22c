"""Tests of upstream membership at an entry."""

from __future__ import annotations

from dataclasses import replace
from itertools import permutations
from unittest import mock

from waxwingwell.decisions.tables import Tables
from waxwingwell.records import Announcement
from waxwingwell.records import LoadReport
from waxwingwell.records import UpstreamId
from waxwingwell.records import UpstreamKind
from waxwingwell.state import membership
from waxwingwell.state.membership import apply_announcement
from waxwingwell.state.membership import apply_relayed_announcements
from waxwingwell.state.membership import expire_upstreams
from waxwingwell.state.membership import make_relay_message
from waxwingwell.state.membership import mark_left

from .commands import StateTestCase


ENGINE = UpstreamId("bole-engine-1")


def announce(
    incarnation: int = 1,
    sequence: int = 1,
    *,
    leaving: bool = False,
    lease: float = 6.0,
    upstream: UpstreamId = ENGINE,
    load: LoadReport | None = None,
) -> Announcement:
    """Return an announcement of a model engine."""
    return Announcement(
        upstream=upstream,
        incarnation=incarnation,
        sequence=sequence,
        kind=UpstreamKind.MODEL,
        data_centre="bole",
        host="127.0.0.1",
        port=9000,
        lease=lease,
        leaving=leaving,
        load=load,
    )


class MembershipTest(StateTestCase):
    def test_result_does_not_depend_on_arrival_order(self) -> None:
        """The state must not depend on the arrival order of announcements.

        An engine announces itself, leaves and restarts, and relays deliver the
        announcements in any order and twice. An entry that applied the last one to
        arrive would keep sending work to an engine that left.
        """
        sent = (
            announce(1, 1),
            announce(1, 2),
            announce(1, 3, leaving=True),
            announce(2, 1),
        )
        for count, alive in ((3, False), (4, True)):
            for order in permutations(sent[:count]):
                with self.subTest([(a.incarnation, a.sequence) for a in order]):
                    tables = Tables()
                    for announcement in order + order:
                        apply_announcement(tables, announcement, 0.1, 10.0)

                    row = tables.upstreams[ENGINE]
                    self.assertEqual(not row.left, alive)
                    self.assertEqual(row.announcement, sent[count - 1])

    def test_same_incarnation_never_returns_after_leaving(self) -> None:
        tables = Tables()
        apply_announcement(tables, announce(1, 5, leaving=True), 0.0, 10.0)
        self.assertFalse(apply_announcement(tables, announce(1, 9), 0.0, 11.0))
        self.assertTrue(tables.upstreams[ENGINE].left)

    def test_relay_never_extends_a_lease(self) -> None:
        """Relaying an announcement between entries must not extend its lease.

        An engine announces itself once and crashes, and two entries relay the
        announcement to each other for a minute. If the lease counted from the arrival
        of the relay, the engine would get work for all of that time.
        """
        first, second = Tables(), Tables()
        apply_announcement(first, announce(lease=6.0), 0.0, 100.0)
        for tick in range(60):
            now = 100.0 + tick
            for sender, receiver in ((first, second), (second, first)):
                expire_upstreams(sender, now)
                message = make_relay_message(sender, now - 1000.0, now)
                apply_relayed_announcements(receiver, message, 0.0, now)

            for tables in (first, second):
                row = tables.upstreams.get(ENGINE)
                self.assertTrue(row is None or row.expires_at <= 106.0)

        self.assertTrue(first.upstreams[ENGINE].left)

    def test_announcement_that_expired_in_transit(self) -> None:
        tables = Tables()
        self.assertFalse(apply_announcement(tables, announce(), 6.0, 100.0))
        self.assertFalse(tables.upstreams)

    def test_expired_upstream_returns_with_a_newer_announcement(self) -> None:
        tables = Tables()
        apply_announcement(tables, announce(1, 1), 0.0, 0.0)
        self.assertEqual(expire_upstreams(tables, 5.9), ())
        self.assertEqual(expire_upstreams(tables, 6.0), (ENGINE,))
        self.assertTrue(tables.upstreams[ENGINE].left)
        self.assertFalse(apply_announcement(tables, announce(1, 1), 0.0, 7.0))
        self.assertTrue(apply_announcement(tables, announce(1, 2), 0.0, 7.0))
        self.assertFalse(tables.upstreams[ENGINE].left)

    def test_lease_is_capped(self) -> None:
        tables = Tables()
        apply_announcement(tables, announce(lease=1e9), 0.0, 0.0)
        self.assertEqual(expire_upstreams(tables, membership.MAX_LEASE), (ENGINE,))

    def test_mark_left_is_spread(self) -> None:
        sender, receiver = Tables(), Tables()
        for tables in (sender, receiver):
            apply_announcement(tables, announce(1, 4), 0.0, 10.0)

        self.assertTrue(mark_left(sender, ENGINE, 11.0))
        self.assertFalse(mark_left(sender, ENGINE, 11.0))
        self.assertFalse(mark_left(sender, UpstreamId("nobody"), 11.0))
        message = make_relay_message(sender, 10.5, 11.2)
        self.assertEqual(apply_relayed_announcements(receiver, message, 0.05, 11.3), 1)
        self.assertTrue(receiver.upstreams[ENGINE].left)

    def test_spread_has_ages_and_only_recent_announcements(self) -> None:
        tables = Tables()
        apply_announcement(tables, announce(), 1.5, 10.0)
        message = make_relay_message(tables, 9.0, 12.0)
        self.assertEqual(message.ages, (3.5,))
        self.assertEqual(make_relay_message(tables, 10.0, 12.0).announcements, ())

    def test_load_report_and_own_dispatches(self) -> None:
        tables = Tables()
        apply_announcement(tables, announce(1, 1), 0.0, 10.0)
        row = tables.upstreams[ENGINE]
        row.dispatched.extend([10.1, 10.6, 11.4])
        report = LoadReport(running=2, age=0.5)
        apply_announcement(tables, announce(1, 2, load=report), 0.2, 11.5)
        self.assertAlmostEqual(row.heard_at, 10.8)
        self.assertEqual(row.dispatched, [11.4])

    def test_new_incarnation_resets_process_state(self) -> None:
        tables = Tables()
        apply_announcement(tables, announce(1, 9), 0.0, 10.0)
        row = tables.upstreams[ENGINE]
        row.failures, row.ejected_until, row.in_flight = 4, 99.0, 2
        row.prefixes["p"] = 1.0
        apply_announcement(tables, announce(2, 1), 0.0, 11.0)
        self.assertEqual((row.failures, row.ejected_until, row.prefixes), (0, 0.0, {}))
        self.assertEqual(row.in_flight, 2)

    def test_tombstones_are_bounded(self) -> None:
        tables = Tables()
        with mock.patch.object(membership, "MAX_TOMBSTONES", 10):
            for number in range(30):
                name = UpstreamId(f"u{number}")
                gone = announce(upstream=name, leaving=True)
                apply_announcement(tables, gone, 0.0, float(number))

            tables.upstreams[UpstreamId("u0")].in_flight = 1
            expire_upstreams(tables, 30.0)

        self.assertEqual(len(tables.upstreams), 11)
        self.assertIn("u0", tables.upstreams)
        tables.upstreams[UpstreamId("u0")].in_flight = 0
        expire_upstreams(tables, 36.0 + membership.TOMBSTONE_RETENTION)
        self.assertFalse(tables.upstreams)

    def test_upstream_changes_its_port(self) -> None:
        tables = Tables()
        apply_announcement(tables, announce(1, 1), 0.0, 1.0)
        updated = replace(announce(1, 2), port=9001)
        apply_announcement(tables, updated, 0.0, 2.0)
        self.assertEqual(tables.upstreams[ENGINE].announcement.port, 9001)
