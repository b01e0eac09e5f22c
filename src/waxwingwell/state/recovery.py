"""Disaster recovery: continue with a single member when most disks are lost.

It never runs automatically; an operator decides, see docs/operations/lost-disk.md.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from .consensus.log import Log
from .consensus.log import last_index
from .consensus.log import last_term
from .consensus.membership import without_member
from .consensus.records import Entry
from .consensus.records import EntryKind
from .consensus.records import HardState
from .consensus.records import Membership
from .exceptions import InvalidMemberError
from .storage_records import Batch


if TYPE_CHECKING:
    from .storage_records import Loaded
    from .storage_records import Store


TERM_JUMP = 1000
"""Increase of the term, beyond any term that the lost members may have reached.

Engines refuse orders whose fencing number is below the highest one they have seen.
"""


@dataclass(frozen=True, slots=True)
class StoreSummary:
    """Contents of a member's disk.

    Of several members, the one with the greatest last term, then index, is to be kept.
    """

    member: str
    last_term: int
    last_index: int
    voters: tuple[str, ...]


def describe_store(store: Store) -> StoreSummary:
    """Describe a store's contents; raise ``InvalidMemberError`` if it has no group."""
    loaded = store.load()
    membership = read_membership(loaded)
    if not membership.voters:
        raise InvalidMemberError("the data folder holds no group")

    log = read_log(loaded)
    return StoreSummary(
        loaded.member, last_term(log), last_index(log), membership.voters
    )


def make_only_voter(store: Store) -> StoreSummary:
    """Make the store's member the only voter; it becomes leader when it is started.

    All entries on its disk are then treated as accepted. The data folders of the other
    voters must be emptied before they start again, so that they join as new members.
    Learners are kept.
    """
    held = describe_store(store)
    loaded = store.load()
    membership = read_membership(loaded)
    for other in membership.voters:
        if other != held.member:
            membership = without_member(membership, other)

    single_member = Membership(
        voters=(held.member,),
        learners=tuple(
            learner for learner in membership.learners if learner != held.member
        ),
        removed=membership.removed,
    )
    term = loaded.hard_state.term + TERM_JUMP
    entry = Entry(term, EntryKind.MEMBERSHIP, msgspec.msgpack.encode(single_member))
    store.write(
        Batch(
            hard_state=HardState(term, held.member),
            first=held.last_index + 1,
            entries=(entry,),
        )
    )
    return describe_store(store)


def read_log(loaded: Loaded) -> Log:
    """Return the log of a loaded store."""
    return Log(loaded.base_index, loaded.base_term, list(loaded.entries))


def read_membership(loaded: Loaded) -> Membership:
    """Return the latest membership of a loaded store."""
    for entry in reversed(loaded.entries):
        if entry.kind is EntryKind.MEMBERSHIP:
            return msgspec.msgpack.decode(entry.data, type=Membership)

    return loaded.snapshot.membership if loaded.snapshot else Membership()
