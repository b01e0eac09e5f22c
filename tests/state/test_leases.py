"""Tests of configuration leases on the entry's and the leader's side."""

from __future__ import annotations

from waxwingwell.messages import ConfigSnapshot
from waxwingwell.messages import InForce
from waxwingwell.messages import LeaseBehind
from waxwingwell.messages import LeaseGranted
from waxwingwell.messages import RenewLease
from waxwingwell.records import Evidence
from waxwingwell.state.leases import LEASE_DURATION
from waxwingwell.state.leases import MAX_CLOCK_DRIFT
from waxwingwell.state.leases import ConfigLease
from waxwingwell.state.leases import EntryLeases
from waxwingwell.state.leases import ExpiredEntry
from waxwingwell.state.leases import accept_snapshot
from waxwingwell.state.leases import finish_renewal
from waxwingwell.state.leases import get_max_lease_time
from waxwingwell.state.leases import is_in_force
from waxwingwell.state.leases import list_expired_entries
from waxwingwell.state.leases import make_sweeps
from waxwingwell.state.leases import may_admit
from waxwingwell.state.leases import renew_lease
from waxwingwell.state.leases import start_renewal
from waxwingwell.state.ledger import OpenIncarnations

from .commands import BOLE
from .commands import CMC
from .commands import DEMO
from .commands import OLD
from .commands import StateTestCase


def make_snapshot(version: int) -> ConfigSnapshot:
    """Return an empty configuration with the given version."""
    return ConfigSnapshot(
        config_version=version, workspaces=(), versions=(), rollouts=()
    )


def renew_at_once(
    leases: EntryLeases, lease: ConfigLease, version: int, now: float
) -> LeaseGranted | LeaseBehind:
    """Renew without delay at a leader with configuration ``version``."""
    renewal = start_renewal(lease, now)
    response = renew_lease(
        leases, renewal.message, snapshot=make_snapshot(version), now=now
    )
    if isinstance(response, LeaseGranted):
        finish_renewal(lease, renewal.number, response, now)
    else:
        accept_snapshot(lease, response.snapshot)

    return response


class EntrySideTest(StateTestCase):
    def test_nothing_is_admitted_before_the_first_grant(self) -> None:
        lease = ConfigLease(BOLE, 1)
        self.assertFalse(may_admit(lease, 0.0))
        leases = EntryLeases(elected_at=0.0)
        self.assertIsInstance(renew_at_once(leases, lease, 3, 10.0), LeaseBehind)
        self.assertFalse(may_admit(lease, 10.0))
        self.assertIsInstance(renew_at_once(leases, lease, 3, 10.1), LeaseGranted)
        self.assertTrue(may_admit(lease, 10.1))
        self.assertFalse(may_admit(lease, 10.1 + leases.duration))

    def test_lease_counts_from_sending_the_renewal(self) -> None:
        """A delayed response must not extend the lease.

        The response to a renewal is delayed by 3 s, then the entry is partitioned off.
        If the lease counted from the arrival, the entry would admit work under a
        replaced configuration for 3 s after the leader reported the new one in force.
        """
        lease = ConfigLease(BOLE, 1, config_version=3)
        renewal = start_renewal(lease, 0.0)
        granted = LeaseGranted(duration=4.0, config_version=3)
        finish_renewal(lease, renewal.number, granted, 3.0)
        self.assertTrue(may_admit(lease, 3.9))
        self.assertFalse(may_admit(lease, 4.0))

    def test_responses_in_any_order(self) -> None:
        lease = ConfigLease(BOLE, 1, config_version=3)
        first = start_renewal(lease, 0.0)
        second = start_renewal(lease, 1.0)
        granted = LeaseGranted(duration=4.0, config_version=3)
        self.assertTrue(finish_renewal(lease, second.number, granted, 1.1))
        self.assertTrue(finish_renewal(lease, first.number, granted, 1.2))
        self.assertFalse(finish_renewal(lease, first.number, granted, 1.3))
        self.assertEqual(lease.expires_at, 5.0)

    def test_grant_for_a_newer_revision_is_no_lease(self) -> None:
        lease = ConfigLease(BOLE, 1, config_version=3)
        renewal = start_renewal(lease, 0.0)
        granted = LeaseGranted(duration=4.0, config_version=4)
        self.assertFalse(finish_renewal(lease, renewal.number, granted, 0.1))
        self.assertFalse(may_admit(lease, 0.1))

    def test_configuration_is_never_reverted(self) -> None:
        lease = ConfigLease(BOLE, 1, config_version=5)
        for version in (4, 5):
            with self.subTest(version):
                self.assertFalse(accept_snapshot(lease, make_snapshot(version)))
                self.assertEqual(lease.config_version, 5)

        self.assertTrue(accept_snapshot(lease, make_snapshot(6)))


class LeaderSideTest(StateTestCase):
    def test_in_force_waits_for_possibly_valid_leases(self) -> None:
        """A change is not in force while a partitioned entry may still admit work.

        The entry renews its lease at 10 s and is partitioned off, a change is accepted
        at 10.5 s, and all other entries acknowledge it.
        """
        leases = EntryLeases(elected_at=0.0)
        bole = ConfigLease(BOLE, 1, config_version=3)
        cmc = ConfigLease(CMC, 1, config_version=3)
        renew_at_once(leases, bole, 3, 10.0)
        renew_at_once(leases, cmc, 3, 10.0)
        renew_at_once(leases, cmc, 4, 10.6)
        renew_at_once(leases, cmc, 4, 10.7)
        expected = InForce(in_force=False, waiting=(BOLE,))
        self.assertEqual(is_in_force(leases, 4, 10.8), expected)
        last = 10.0 + LEASE_DURATION - 0.01
        self.assertTrue(may_admit(bole, last))
        self.assertFalse(is_in_force(leases, 4, last).in_force)
        after = 10.0 + get_max_lease_time(leases)
        self.assertFalse(may_admit(bole, after))
        self.assertTrue(is_in_force(leases, 4, after).in_force)

    def test_clock_drift(self) -> None:
        """A change is not in force before the slowest entry clock ends the lease.

        An entry with a slow clock is partitioned off after a renewal, and a leader with
        a fast clock waits for the lease to expire. If both counted the same seconds, a
        withdrawal would be in force 40 ms before the entry stops admitting work.
        """
        slow, fast = 1.0 - MAX_CLOCK_DRIFT / 2, 1.0 + MAX_CLOCK_DRIFT / 2
        for entry_rate, leader_rate in ((slow, fast), (1.0, 1.0), (fast, slow)):
            with self.subTest(entry=entry_rate, leader=leader_rate):
                leases = EntryLeases(elected_at=0.0)
                lease = ConfigLease(BOLE, 1, config_version=1)
                renewal = start_renewal(lease, 100.0 * entry_rate)
                granted = renew_lease(
                    leases,
                    renewal.message,
                    snapshot=make_snapshot(1),
                    now=100.0 * leader_rate,
                )
                assert isinstance(granted, LeaseGranted)
                finish_renewal(lease, renewal.number, granted, 100.0 * entry_rate)
                for step in range(500):
                    time = 100.0 + step / 100
                    reported = is_in_force(leases, 2, time * leader_rate).in_force
                    admits = may_admit(lease, time * entry_rate)
                    self.assertFalse(reported and admits, time)

    def test_new_leader_reports_nothing_in_force_at_first(self) -> None:
        leases = EntryLeases(elected_at=100.0)
        last = 100.0 + LEASE_DURATION - 0.01
        self.assertFalse(is_in_force(leases, 1, last).in_force)
        later = 100.0 + get_max_lease_time(leases)
        self.assertTrue(is_in_force(leases, 1, later).in_force)

    def test_old_process_beside_the_new_one_counts(self) -> None:
        """The lease of a replaced but frozen process counts until it expires.

        The old process gets a lease at 10 s and freezes, the new one acknowledges the
        change at 11 s, and the old one resumes at 12 s. With a single row per entry the
        old process would be forgotten although it admits work until its lease expires.
        """
        leases = EntryLeases(elected_at=0.0)
        old = ConfigLease(BOLE, 1, config_version=3)
        new = ConfigLease(BOLE, 2, config_version=4)
        renew_at_once(leases, old, 3, 10.0)
        renew_at_once(leases, new, 4, 11.0)
        self.assertTrue(may_admit(old, 12.0))
        self.assertFalse(is_in_force(leases, 4, 12.0).in_force)
        self.assertIsInstance(renew_at_once(leases, old, 4, 12.0), LeaseBehind)

    def test_entry_ahead_of_the_leader_gets_no_lease(self) -> None:
        leases = EntryLeases(elected_at=0.0)
        lease = ConfigLease(BOLE, 1, config_version=9)
        self.assertIsInstance(renew_at_once(leases, lease, 8, 10.0), LeaseBehind)
        self.assertEqual(lease.config_version, 9)
        self.assertFalse(may_admit(lease, 10.0))

    def test_expired_entries_are_swept(self) -> None:
        leases = EntryLeases(elected_at=0.0)
        renew_at_once(leases, ConfigLease(BOLE, 3, config_version=1), 1, 10.0)
        renew_at_once(leases, ConfigLease(CMC, 5, config_version=1), 1, 13.0)
        self.assertEqual(list_expired_entries(leases, 15.0), (ExpiredEntry(BOLE, 3),))
        open_entries = {BOLE: OpenIncarnations(3, 3), CMC: OpenIncarnations(4, 5)}
        swept = {
            sweep.entry: sweep.below_incarnation
            for sweep in make_sweeps(leases, open_entries, 15.0, at=1.0)
        }
        self.assertEqual(swept, {BOLE: 4, CMC: 5})
        live = {CMC: OpenIncarnations(5, 5)}
        self.assertEqual(make_sweeps(leases, live, 15.0, at=1.0), ())

    def test_new_leader_sweeps_nothing_at_first(self) -> None:
        leases = EntryLeases(elected_at=100.0)
        open_entries = {BOLE: OpenIncarnations(3, 3)}
        self.assertEqual(make_sweeps(leases, open_entries, 103.0, at=1.0), ())
        later = 100.0 + get_max_lease_time(leases)
        (sweep,) = make_sweeps(leases, open_entries, later, at=1.0)
        self.assertEqual(sweep.below_incarnation, 4)

    def test_evidence_is_sent_at_intervals(self) -> None:
        leases = EntryLeases(elected_at=0.0)
        message = RenewLease(entry=BOLE, incarnation=1, config_version=1)
        row = Evidence(OLD, DEMO, "question", rated=1)
        carried = []
        for second in range(12):
            response = renew_lease(
                leases,
                message,
                snapshot=make_snapshot(1),
                now=10.0 + second,
                list_evidence=lambda: (row,),
            )
            assert isinstance(response, LeaseGranted)
            carried.append(len(response.evidence))

        self.assertEqual(carried, [1, 0, 0, 0, 0] * 2 + [1, 0])

    def test_expired_leases_are_dropped(self) -> None:
        leases = EntryLeases(elected_at=0.0)
        for number in range(50):
            lease = ConfigLease(BOLE, number, config_version=1)
            renew_at_once(leases, lease, 1, number * 1000.0)

        self.assertLess(len(leases.rows), 6)
