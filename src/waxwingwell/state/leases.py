"""Configuration leases: when an entry may admit work, and what "in force" means.

An entry may admit work only while it holds a lease. The leader grants leases only to
entries that have the newest committed configuration, so that a configuration is in
force once every entry whose lease may still be valid has acknowledged it. Both sides
use their own monotonic clock: the entry counts from sending its renewal, the leader
from the grant, which is later; ``MAX_CLOCK_DRIFT`` covers clocks that run at different
speeds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ..invariants import Invariant
from ..invariants import check
from ..messages import InForce
from ..messages import LeaseBehind
from ..messages import LeaseGranted
from ..messages import RenewLease
from ..messages import SettleAbandoned
from ..records import EntryId


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from ..messages import ConfigSnapshot
    from ..records import Evidence
    from .ledger import OpenIncarnations


LEASE_DURATION = 3.5
"""Seconds for which a lease is valid; an entry renews it about once a second."""

MAX_CLOCK_DRIFT = 0.02
"""Largest assumed relative drift between two monotonic clocks."""

EXPIRED_LEASE_RETENTION = 3600.0
"""Seconds for which the leader keeps the record of an expired lease."""

EVIDENCE_INTERVAL = 5.0
"""Seconds between two grants to an entry that include the evidence.

The evidence grows with the number of workspaces, kinds of work and versions, and an
entry renews its lease every second, so it is not sent with each grant.
"""

MAX_PENDING_RENEWALS = 16
"""Pending renewals that an entry keeps track of."""


@dataclass(slots=True)
class EntryLease:
    """The leader's record of the lease of one incarnation of an entry."""

    config_version: int
    """Newest configuration version that the entry acknowledged."""
    expires_at: float
    """When the lease has expired on any clock; leader's monotonic seconds."""
    evidence_at: float = -math.inf
    """When a grant last included the evidence; leader's monotonic seconds."""


LeaseKey = tuple[EntryId, int]
"""Entry and incarnation; an old process may still run beside the new one."""


@dataclass(slots=True)
class EntryLeases:
    """The leader's table of leases, which starts empty after each election."""

    elected_at: float
    """Time of the election in the leader's monotonic seconds."""
    duration: float = LEASE_DURATION
    rows: dict[LeaseKey, EntryLease] = field(default_factory=dict)
    newest: dict[EntryId, int] = field(default_factory=dict)
    """Highest incarnation seen by entry."""


@dataclass(frozen=True, slots=True)
class ExpiredEntry:
    """An incarnation of an entry that can't admit work any more."""

    entry: EntryId
    incarnation: int


def get_max_lease_time(leases: EntryLeases) -> float:
    """Return the seconds after a grant when the lease has expired on any clock."""
    return leases.duration * (1 + 2 * MAX_CLOCK_DRIFT)


def earlier_leases_expired(leases: EntryLeases, now: float) -> bool:
    """Return whether all leases granted by earlier leaders have expired.

    A new leader doesn't know which entries hold leases of an earlier leader. Without
    this check it could report a configuration as in force while an entry unknown to it
    still admits work under an older one. All those grants precede the election.
    """
    return now >= leases.elected_at + get_max_lease_time(leases)


def renew_lease(
    leases: EntryLeases,
    message: RenewLease,
    *,
    snapshot: ConfigSnapshot,
    now: float,
    list_evidence: Callable[[], tuple[Evidence, ...]] = tuple,
    term: int = 0,
) -> LeaseGranted | LeaseBehind:
    """Grant a lease to an entry that has the newest configuration.

    ``snapshot`` is the newest committed configuration. The caller must have confirmed
    its leadership for ``now`` after reading the snapshot; otherwise a partitioned
    leader would grant leases for an outdated configuration. ``list_evidence`` is called
    at most every ``EVIDENCE_INTERVAL`` seconds for each entry; other grants have no
    evidence, and the entry keeps the totals that it has.
    """
    lease_key = (message.entry, message.incarnation)
    newest = leases.newest.get(message.entry, message.incarnation)
    if message.incarnation < newest:
        return LeaseBehind(snapshot=snapshot)

    leases.newest[message.entry] = message.incarnation
    row = leases.rows.get(lease_key)
    if row is not None:
        row.config_version = max(row.config_version, message.config_version)

    # An entry ahead of this leader was served by a later leader; it gets no lease.
    if message.config_version != snapshot.config_version:
        return LeaseBehind(snapshot=snapshot)

    expires_at = now + get_max_lease_time(leases)
    if row is None:
        row = EntryLease(message.config_version, expires_at)
        leases.rows[lease_key] = row

    row.expires_at = max(row.expires_at, expires_at)
    _drop_expired_leases(leases, now)
    evidence_due = now - row.evidence_at >= EVIDENCE_INTERVAL
    if evidence_due:
        row.evidence_at = now

    return LeaseGranted(
        duration=leases.duration,
        config_version=snapshot.config_version,
        term=term,
        evidence=list_evidence() if evidence_due else (),
    )


def _drop_expired_leases(leases: EntryLeases, now: float) -> None:
    """Drop leases that expired long ago, so that the table stays bounded."""
    expired_keys = [
        lease_key
        for lease_key, row in leases.rows.items()
        if row.expires_at + EXPIRED_LEASE_RETENTION <= now
    ]
    for lease_key in expired_keys:
        del leases.rows[lease_key]
        if leases.newest.get(lease_key[0]) == lease_key[1]:
            del leases.newest[lease_key[0]]


def is_in_force(leases: EntryLeases, config_version: int, now: float) -> InForce:
    """Return whether no entry may still admit work under an older configuration.

    ``config_version`` must be committed, and the caller must be the confirmed leader.
    """
    if not earlier_leases_expired(leases, now):
        return InForce(in_force=False)

    waiting = {
        entry
        for (entry, _), row in leases.rows.items()
        if row.expires_at > now and row.config_version < config_version
    }
    return InForce(in_force=not waiting, waiting=tuple(sorted(waiting)))


def list_expired_entries(leases: EntryLeases, now: float) -> tuple[ExpiredEntry, ...]:
    """Return the incarnations with an expired lease, whose rows can be swept."""
    return tuple(
        ExpiredEntry(entry, incarnation)
        for (entry, incarnation), row in leases.rows.items()
        if row.expires_at <= now
    )


def make_sweeps(
    leases: EntryLeases,
    open_entries: Mapping[EntryId, OpenIncarnations],
    now: float,
    *,
    at: float,
) -> tuple[SettleAbandoned, ...]:
    """Return sweeps for entries that have open rows but no possibly valid lease.

    ``open_entries`` comes from ``ledger.list_open_entries`` and also covers entries
    that crashed before this leader was elected, which have no record in ``leases``.
    ``at`` is the wall clock time.
    """
    if not earlier_leases_expired(leases, now):
        return ()

    live: dict[EntryId, int] = {}
    for (entry, incarnation), row in leases.rows.items():
        if row.expires_at > now:
            live[entry] = min(incarnation, live.get(entry, incarnation))

    sweeps = []
    for entry, incarnations in open_entries.items():
        below = live.get(entry, incarnations.newest + 1)
        if incarnations.oldest < below:
            sweep = SettleAbandoned(entry=entry, below_incarnation=below, at=at)
            sweeps.append(sweep)

    return tuple(sweeps)


@dataclass(frozen=True, slots=True)
class Renewal:
    """A renewal to send; ``number`` correlates it with its response."""

    number: int
    message: RenewLease


@dataclass(slots=True)
class ConfigLease:
    """An entry's own lease; initially, and after a restart, it is not valid."""

    entry: EntryId
    incarnation: int
    config_version: int = 0
    """Configuration version that this entry applies; it never decreases."""
    expires_at: float = -math.inf
    """When the lease expires; entry's monotonic seconds."""
    sent: dict[int, float] = field(default_factory=dict)
    """When each pending renewal was sent, by number."""
    last_number: int = 0


def start_renewal(lease: ConfigLease, now: float) -> Renewal:
    """Return a renewal to send immediately; its lease will start at ``now``."""
    lease.last_number += 1
    lease.sent[lease.last_number] = now
    while len(lease.sent) > MAX_PENDING_RENEWALS:
        del lease.sent[next(iter(lease.sent))]

    message = RenewLease(
        entry=lease.entry,
        incarnation=lease.incarnation,
        config_version=lease.config_version,
    )
    return Renewal(lease.last_number, message)


def finish_renewal(
    lease: ConfigLease, number: int, granted: LeaseGranted, now: float
) -> bool:
    """Apply a granted lease; return false if it is ignored or no lease is valid.

    A grant is ignored if its renewal is unknown or it is for a newer configuration. The
    lease starts when the renewal was sent, not at ``now``: a delayed response would
    otherwise extend it beyond the expiry that the leader assumes. Responses may arrive
    in any order.
    """
    sent_at = lease.sent.pop(number, None)
    if sent_at is None or granted.config_version > lease.config_version:
        return False

    lease.expires_at = max(lease.expires_at, sent_at + granted.duration)
    return may_admit(lease, now)


def accept_snapshot(lease: ConfigLease, snapshot: ConfigSnapshot) -> bool:
    """Record a newer configuration; return false if the entry must not apply it.

    A delayed response, or one of a leader that is behind, would otherwise revert the
    entry to a configuration that was replaced, in which a withdrawn version may still
    be allowed.
    """
    if snapshot.config_version <= lease.config_version:
        return False

    lease.config_version = snapshot.config_version
    return True


def check_not_reverted(before: int, after: int, entry: EntryId) -> bool:
    """Check that the configuration in an entry's tables was not reverted."""
    return check(
        Invariant.CONFIG_NEVER_REVERTS,
        after >= before,
        lambda: f"{entry} reverted from configuration {before} to {after}",
    )


def may_admit(lease: ConfigLease, now: float) -> bool:
    """Return whether the entry may admit and dispatch work at ``now``.

    Callers must check again after every wait: the lease of a process that was suspended
    may have expired without any of its code running.
    """
    return now < lease.expires_at
