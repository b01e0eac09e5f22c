"""Configuration leases: what lets an entry admit work, and what "in force" means.

An entry may admit work only while it holds a lease. The leader grants one only to an
entry that has the newest committed configuration, so that a configuration is in force
once every entry whose lease may still hold has acknowledged it. Both sides use their
own monotonic clock: the entry counts from the sending of its renewal, the leader from
the granting, which is later; ``DRIFT`` covers clocks that run at unlike speeds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ..invariants import Promise
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
"""Seconds that a lease holds; an entry renews about once a second."""

DRIFT = 0.02
"""Largest share by which two monotonic clocks are taken to run apart."""

RECORD_KEPT = 3600.0
"""Seconds for which an expired lease is remembered by the leader."""

EVIDENCE_EVERY = 5.0
"""Seconds between two grants to an entry that carry the evidence.

Its size grows with workspaces, kinds and versions, and an entry renews each second.
"""

RENEWALS_KEPT = 16
"""Unanswered renewals that an entry remembers."""


@dataclass(slots=True)
class EntryLease:
    """What the leader knows of one incarnation of an entry."""

    config_version: int
    """The newest configuration that it acknowledged."""
    expires_at: float
    """When its lease has run out by any clock; leader's monotonic seconds."""
    evidence_at: float = -math.inf
    """When a grant to it last carried the evidence."""


LeaseKey = tuple[EntryId, int]
"""Entry and incarnation: an old process may live on beside the new one."""


@dataclass(slots=True)
class EntryLeases:
    """The leader's table of leases, begun anew with each election."""

    elected_at: float
    """Leader's monotonic seconds."""
    duration: float = LEASE_DURATION
    rows: dict[LeaseKey, EntryLease] = field(default_factory=dict)
    newest: dict[EntryId, int] = field(default_factory=dict)
    """The highest incarnation seen of each entry."""


@dataclass(frozen=True, slots=True)
class ExpiredEntry:
    """An incarnation of an entry that can't admit work any more."""

    entry: EntryId
    incarnation: int


def get_longest_hold(leases: EntryLeases) -> float:
    """Return seconds after a grant when the lease has run out by any clock."""
    return leases.duration * (1 + 2 * DRIFT)


def knows_all_leases(leases: EntryLeases, now: float) -> bool:
    """Tell whether leases granted by an earlier leader have all run out.

    Failure guarded against: a new leader doesn't know whom the old one granted a
    lease. It would claim a configuration in force while an entry it never heard of
    admits work by an older one. All those grants were made before the election.
    """
    return now >= leases.elected_at + get_longest_hold(leases)


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

    ``snapshot`` is the newest committed one. The caller must have confirmed its
    leadership for ``now`` after it read the snapshot; otherwise a leader that was cut
    off would grant leases on an old configuration. ``list_evidence`` is asked now and
    then only; a grant without evidence brings no news.
    """
    place = (message.entry, message.incarnation)
    newest = leases.newest.get(message.entry, message.incarnation)
    if message.incarnation < newest:
        return LeaseBehind(snapshot=snapshot)

    leases.newest[message.entry] = message.incarnation
    row = leases.rows.get(place)
    if row is not None:
        row.config_version = max(row.config_version, message.config_version)

    # An entry ahead of this leader was served by a later one: it gets no lease here.
    if message.config_version != snapshot.config_version:
        return LeaseBehind(snapshot=snapshot)

    expires_at = now + get_longest_hold(leases)
    if row is None:
        row = EntryLease(message.config_version, expires_at)
        leases.rows[place] = row

    row.expires_at = max(row.expires_at, expires_at)
    _drop_old_records(leases, now)
    due = now - row.evidence_at >= EVIDENCE_EVERY
    if due:
        row.evidence_at = now

    return LeaseGranted(
        duration=leases.duration,
        config_version=snapshot.config_version,
        term=term,
        evidence=list_evidence() if due else (),
    )


def _drop_old_records(leases: EntryLeases, now: float) -> None:
    """Drop leases that ran out long ago, so that the table stays bounded."""
    old = [
        place
        for place, row in leases.rows.items()
        if row.expires_at + RECORD_KEPT <= now
    ]
    for place in old:
        del leases.rows[place]
        if leases.newest.get(place[0]) == place[1]:
            del leases.newest[place[0]]


def is_in_force(leases: EntryLeases, config_version: int, now: float) -> InForce:
    """Tell whether no entry may still admit work by an older configuration.

    ``config_version`` must be a committed one, and the caller the confirmed leader.
    """
    if not knows_all_leases(leases, now):
        return InForce(in_force=False)

    waiting = {
        entry
        for (entry, _), row in leases.rows.items()
        if row.expires_at > now and row.config_version < config_version
    }
    return InForce(in_force=not waiting, waiting=tuple(sorted(waiting)))


def list_expired_entries(leases: EntryLeases, now: float) -> tuple[ExpiredEntry, ...]:
    """Return incarnations whose lease has run out, for sweeping their rows."""
    return tuple(
        ExpiredEntry(entry, incarnation)
        for (entry, incarnation), row in leases.rows.items()
        if row.expires_at <= now
    )


def list_abandoned(
    leases: EntryLeases,
    open_entries: Mapping[EntryId, OpenIncarnations],
    now: float,
    *,
    at: float,
) -> tuple[SettleAbandoned, ...]:
    """Return sweeps for entries with open rows and no lease that may still hold.

    ``open_entries`` is ``ledger.list_open_entries``; ``at`` is the wall clock. It
    covers entries that died before this leader was elected, which have no row here.
    """
    if not knows_all_leases(leases, now):
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
    """A renewal to send; ``number`` names it when the answer comes."""

    number: int
    message: RenewLease


@dataclass(slots=True)
class ConfigLease:
    """An entry's own lease; it starts without one, also after a restart."""

    entry: EntryId
    incarnation: int
    config_version: int = 0
    """The configuration that this entry has in force; it only rises."""
    expires_at: float = -math.inf
    """Entry's monotonic seconds."""
    sent: dict[int, float] = field(default_factory=dict)
    """When each unanswered renewal was sent, by number."""
    last_number: int = 0


def begin_renewal(lease: ConfigLease, now: float) -> Renewal:
    """Return a renewal to send at once; the lease will count from ``now``."""
    lease.last_number += 1
    lease.sent[lease.last_number] = now
    while len(lease.sent) > RENEWALS_KEPT:
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
    """Take a granted lease; false if it is unknown, too old or for another revision.

    Failure guarded against: an answer that was held up on the way would stretch the
    lease beyond what the leader counts with. It counts from the sending, not from
    ``now``, and answers may arrive in any order.
    """
    sent_at = lease.sent.pop(number, None)
    if sent_at is None or granted.config_version > lease.config_version:
        return False

    lease.expires_at = max(lease.expires_at, sent_at + granted.duration)
    return may_admit(lease, now)


def take_snapshot(lease: ConfigLease, snapshot: ConfigSnapshot) -> bool:
    """Tell whether the entry shall replace its configuration by this newer one.

    Failure guarded against: an answer of a leader that is behind, or one that was
    held up on the way, would take the entry back to a configuration that was
    replaced, where a withdrawn version is still allowed.
    """
    if snapshot.config_version <= lease.config_version:
        return False

    lease.config_version = snapshot.config_version
    return True


def check_taken(before: int, after: int, entry: EntryId) -> bool:
    """Check that the configuration in an entry's tables did not go back."""
    return check(
        Promise.CONFIG_NEVER_REVERTS,
        after >= before,
        lambda: f"{entry} went from configuration {before} back to {after}",
    )


def may_admit(lease: ConfigLease, now: float) -> bool:
    """Tell whether the entry may admit and dispatch work now.

    To be asked again after every wait: a process that was stopped and woke up has
    lost its lease without having run any code.
    """
    return now < lease.expires_at
