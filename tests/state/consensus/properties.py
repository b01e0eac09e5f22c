"""Raft safety properties across all members, checked after every event of a run."""

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
class RunHistory:
    """Elections, votes, commits and applied commands observed so far in a run."""

    leaders: dict[int, str] = field(default_factory=dict)
    """By term: the id of its leader."""
    votes: dict[tuple[str, int], str] = field(default_factory=dict)
    """By voter's id and term: the candidate that it voted for."""
    applied: dict[int, bytes] = field(default_factory=dict)
    committed: dict[int, Entry] = field(default_factory=dict)
    committed_in: dict[int, int] = field(default_factory=dict)
    """By index: the term of the leader that committed it."""
    seen: dict[tuple[int, int], tuple[int | None, Entry]] = field(default_factory=dict)
    """By index and term: the term of the previous entry, and the entry."""
    commits: dict[str, int] = field(default_factory=dict)
    checked: dict[str, int] = field(default_factory=dict)


def watch_node(history: RunHistory, cluster: Cluster, node: Node) -> None:
    """Raise ``AssertionError`` if ``node``, which has just acted, violates a property.

    No other member needs a check: the others' state is unchanged, and the passage of
    time alone can only end a lease.
    """
    if node.group is None:
        return

    check_applied(history, node)
    check_committed(history, node.group.replica)
    check_leader(history, node.group.replica)
    if not leads(node.group, clock(cluster, node)):
        return

    holders = lease_holders(cluster)
    assert len(holders) == 1, f"two lease holders: {holders}"
    check_leader_has_applied(history, node)


def check_leader_has_applied(history: RunHistory, node: Node) -> None:
    """Check that the lease holder has applied every committed entry."""
    assert node.group is not None
    replica = node.group.replica
    newest = max(history.committed, default=0)
    assert replica.applied >= newest, (
        f"{node.name} holds the lease but has not applied entry {newest}"
    )


def check_applied(history: RunHistory, node: Node) -> None:
    """Check state machine safety: members apply the same command at an index."""
    done = history.checked.get(node.name, 0)
    start = done if done <= len(node.applied) else 0
    for index, command in node.applied[start:]:
        known = history.applied.setdefault(index, command)
        assert known == command, f"{node.name} applied a different command at {index}"

    history.checked[node.name] = len(node.applied)


def check_committed(history: RunHistory, replica: Replica) -> None:
    """Check state machine safety of all entries, also those without a command."""
    key = replica.member
    start = max(history.commits.get(key, 0), replica.log.base_index)
    for index in range(start + 1, replica.commit + 1):
        entry = entry_at(replica.log, index)
        known = history.committed.setdefault(index, entry)
        assert known == entry, f"{key} committed a different entry at {index}"
        history.committed_in.setdefault(index, replica.term)

    history.commits[key] = replica.commit


def check_leader(history: RunHistory, replica: Replica) -> None:
    """Check election safety (one leader per term) and leader completeness.

    A delayed vote may elect a leader of an earlier term after a later term's leader
    has committed. It need not hold those entries, as it can commit nothing.
    """
    if replica.role is not Role.LEADER:
        return

    known = history.leaders.get(replica.term)
    if known is not None:
        assert known == replica.member, f"two leaders of term {replica.term}"
        return

    history.leaders[replica.term] = replica.member
    for index, entry in history.committed.items():
        if index <= replica.log.base_index:
            continue

        if history.committed_in[index] >= replica.term:
            continue

        held = term_at(replica.log, index)
        assert held == entry.term, (
            f"{replica.member} leads term {replica.term} without entry {index}"
        )


def check_logs(history: RunHistory, cluster: Cluster) -> None:
    """Check log matching: index and term determine entry and previous term."""
    for node in cluster.nodes.values():
        if node.group is None:
            continue

        log = node.group.replica.log
        for index in range(log.base_index + 1, last_index(log) + 1):
            entry = entry_at(log, index)
            value = (term_at(log, index - 1), entry)
            known = history.seen.setdefault((index, entry.term), value)
            assert known == value, (
                f"{node.name} has a different entry or previous term at {index}"
            )

        check_memberships(node.name, [e for e in log.entries if is_membership(e)])


def is_membership(entry: Entry) -> bool:
    """Return whether an entry changes the membership."""
    return entry.kind is EntryKind.MEMBERSHIP


def check_memberships(name: str, entries: list[Entry]) -> None:
    """Check that each change adds or removes at most one voter."""
    decode = msgspec.msgpack.Decoder(Membership).decode
    voters = [set(decode(entry.data).voters) for entry in entries]
    for before, after in pairwise(voters):
        assert len(before ^ after) <= 1, f"{name} changed more than one voter at once"


def watch_message(
    history: RunHistory, cluster: Cluster, message: ConsensusMessage
) -> None:
    """Check that no message relies on state that its sender has not synced."""
    disk = cluster.nodes[name_of(message.sender)].disk.loaded
    if isinstance(message, RequestVote) and not message.pre:
        check_vote(history, message.sender, message.term, message.sender)
        assert disk.hard_state.term >= message.term, (
            "requested votes before the term was synced"
        )
    elif isinstance(message, VoteAnswer) and message.granted and not message.pre:
        check_vote(history, message.sender, message.term, message.target)
        assert disk.hard_state.term >= message.term, (
            "granted a vote before the term was synced"
        )
    elif isinstance(message, AppendAnswer) and message.success:
        held = disk.base_index + len(disk.entries)
        assert held >= message.match, "acknowledged entries before they were synced"


def check_vote(history: RunHistory, voter: str, term: int, candidate: str) -> None:
    """Check that a voter grants one vote per term, also across restarts."""
    known = history.votes.setdefault((voter, term), candidate)
    assert known == candidate, f"{voter} voted twice in term {term}"
