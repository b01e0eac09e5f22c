"""What must hold across all members, checked at every instant of a run."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from itertools import pairwise
from typing import TYPE_CHECKING

import msgspec

from tests.state.consensus.fakes import clock
from tests.state.consensus.fakes import lease_holders
from waxwingwell.state.consensus.log import entry_at
from waxwingwell.state.consensus.log import last_index
from waxwingwell.state.consensus.log import term_at
from waxwingwell.state.consensus.messages import AppendAnswer
from waxwingwell.state.consensus.messages import RequestVote
from waxwingwell.state.consensus.messages import VoteAnswer
from waxwingwell.state.consensus.records import Entry
from waxwingwell.state.consensus.records import EntryKind
from waxwingwell.state.consensus.records import Membership
from waxwingwell.state.consensus.records import Role
from waxwingwell.state.consensus.records import name_of
from waxwingwell.state.group import leads


if TYPE_CHECKING:
    from tests.state.consensus.fakes import Cluster
    from tests.state.consensus.fakes import Node
    from waxwingwell.state.consensus.messages import ConsensusMessage
    from waxwingwell.state.consensus.replica import Replica


@dataclass(slots=True)
class Record:
    """What was seen in a run so far."""

    leaders: dict[int, str] = field(default_factory=dict)
    """By term: the id that led it."""
    votes: dict[tuple[str, int], str] = field(default_factory=dict)
    """By voter's id and term: whom it voted for."""
    applied: dict[int, bytes] = field(default_factory=dict)
    committed: dict[int, Entry] = field(default_factory=dict)
    committed_in: dict[int, int] = field(default_factory=dict)
    """By index: the term of the leader that committed it."""
    seen: dict[tuple[int, int], tuple[int | None, Entry]] = field(default_factory=dict)
    """By index and term: the term before it, and the entry."""
    commits: dict[str, int] = field(default_factory=dict)
    checked: dict[str, int] = field(default_factory=dict)


def watch_node(record: Record, cluster: Cluster, node: Node) -> None:
    """Raise ``AssertionError`` if ``node``, which has just acted, breaks a property.

    Nobody else can have come to break one: the others' state is as it was, and by
    time alone a lease can only end.
    """
    if node.group is None:
        return

    check_applied(record, node)
    check_committed(record, node.group.replica)
    check_leader(record, node.group.replica)
    if not leads(node.group, clock(cluster, node)):
        return

    holders = lease_holders(cluster)
    assert len(holders) == 1, f"two lease holders: {holders}"
    check_newest(record, node)


def check_newest(record: Record, node: Node) -> None:
    """Whoever holds the lease has applied all that was ever committed."""
    assert node.group is not None
    replica = node.group.replica
    newest = max(record.committed, default=0)
    assert replica.applied >= newest, f"{node.name} leads and lacks entry {newest}"


def check_applied(record: Record, node: Node) -> None:
    """State machine safety: every member applies the same command at an index."""
    done = record.checked.get(node.name, 0)
    start = done if done <= len(node.applied) else 0
    for index, command in node.applied[start:]:
        known = record.applied.setdefault(index, command)
        assert known == command, f"{node.name} applied another command at {index}"

    record.checked[node.name] = len(node.applied)


def check_committed(record: Record, replica: Replica) -> None:
    """State machine safety for entries that no command is in, too."""
    key = replica.member
    start = max(record.commits.get(key, 0), replica.log.base_index)
    for index in range(start + 1, replica.commit + 1):
        entry = entry_at(replica.log, index)
        known = record.committed.setdefault(index, entry)
        assert known == entry, f"{key} committed another entry at {index}"
        record.committed_in.setdefault(index, replica.term)

    record.commits[key] = replica.commit


def check_leader(record: Record, replica: Replica) -> None:
    """One leader a term, and leader completeness.

    A late vote may let a leader of a former term win after its successor has
    committed; it need not hold that, and can commit nothing.
    """
    if replica.role is not Role.LEADER:
        return

    known = record.leaders.get(replica.term)
    if known is not None:
        assert known == replica.member, f"two leaders of term {replica.term}"
        return

    record.leaders[replica.term] = replica.member
    for index, entry in record.committed.items():
        if index <= replica.log.base_index:
            continue

        if record.committed_in[index] >= replica.term:
            continue

        held = term_at(replica.log, index)
        assert held == entry.term, (
            f"{replica.member} leads term {replica.term} without entry {index}"
        )


def check_logs(record: Record, cluster: Cluster) -> None:
    """Log matching: same index and term, same entry and same term before it."""
    for node in cluster.nodes.values():
        if node.group is None:
            continue

        log = node.group.replica.log
        for index in range(log.base_index + 1, last_index(log) + 1):
            entry = entry_at(log, index)
            value = (term_at(log, index - 1), entry)
            known = record.seen.setdefault((index, entry.term), value)
            assert known == value, f"{node.name} has another log at {index}"

        check_memberships(node.name, [e for e in log.entries if is_membership(e)])


def is_membership(entry: Entry) -> bool:
    """Return whether an entry sets the members."""
    return entry.kind is EntryKind.MEMBERSHIP


def check_memberships(name: str, entries: list[Entry]) -> None:
    """Check that one voter at most comes or goes at a time."""
    decode = msgspec.msgpack.Decoder(Membership).decode
    voters = [set(decode(entry.data).voters) for entry in entries]
    for before, after in pairwise(voters):
        assert len(before ^ after) <= 1, f"{name} changed two voters at once"


def watch_message(record: Record, cluster: Cluster, message: ConsensusMessage) -> None:
    """No message promises more than its sender has synced."""
    disk = cluster.nodes[name_of(message.sender)].disk.loaded
    if isinstance(message, RequestVote) and not message.pre:
        check_vote(record, message.sender, message.term, message.sender)
        assert disk.hard_state.term >= message.term, "stood before the term was synced"
    elif isinstance(message, VoteAnswer) and message.granted and not message.pre:
        check_vote(record, message.sender, message.term, message.target)
        assert disk.hard_state.term >= message.term, "voted before it was synced"
    elif isinstance(message, AppendAnswer) and message.success:
        held = disk.base_index + len(disk.entries)
        assert held >= message.match, "acknowledged before it was synced"


def check_vote(record: Record, voter: str, term: int, candidate: str) -> None:
    """One vote a term, whatever was lost in between."""
    known = record.votes.setdefault((voter, term), candidate)
    assert known == candidate, f"{voter} voted twice in term {term}"
