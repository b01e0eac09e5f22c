"""What a replica does at each tick and with each message."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .elections import ask_pre_votes
from .elections import receive_timeout_now
from .elections import receive_vote_answer
from .elections import receive_vote_request
from .following import receive_append
from .founding import is_empty
from .founding import receive_probe
from .founding import receive_probe_answer
from .founding import tend_founding
from .founding import tend_joining
from .lease import lost_quorum
from .membership import receive_join
from .membership import tend_members
from .messages import AppendAnswer
from .messages import AppendEntries
from .messages import Expelled
from .messages import InstallSnapshot
from .messages import JoinRequest
from .messages import Probe
from .messages import ProbeAnswer
from .messages import RequestVote
from .messages import SnapshotAnswer
from .messages import TimeoutNow
from .messages import VoteAnswer
from .records import Role
from .replica import become_follower
from .replica import is_voter
from .replication import leave_if_removed
from .replication import receive_append_answer
from .replication import receive_snapshot_answer
from .replication import send_heartbeats
from .snapshots import receive_snapshot


if TYPE_CHECKING:
    from .messages import ConsensusMessage
    from .replica import Replica


def tick(replica: Replica, now: float) -> None:
    """Do what is due."""
    if replica.expelled:
        return

    if replica.role is Role.LEADER:
        tick_leader(replica, now)
        return

    if is_empty(replica):
        tend_founding(replica, now)
        return

    tend_joining(replica, now)
    if is_voter(replica) and now >= replica.election_at:
        ask_pre_votes(replica, now)


def tick_leader(replica: Replica, now: float) -> None:
    """Step down if no majority answers; else keep the others following."""
    leave_if_removed(replica, now)
    end_transfer(replica, now)
    if replica.role is not Role.LEADER:
        return

    if lost_quorum(replica, now):
        become_follower(replica, replica.term, "", now)
        return

    tend_members(replica, now)
    if now >= replica.heartbeat_at:
        send_heartbeats(replica, now)


def end_transfer(replica: Replica, now: float) -> None:
    """Give a transfer up when its time is over.

    Once the target was told to stand, the lease can't be had back in this term;
    stepping down lets a new term begin.
    """
    transfer = replica.transfer
    if transfer is None or now < transfer.deadline:
        return

    replica.transfer = None
    if transfer.sent:
        become_follower(replica, replica.term, "", now)


def receive(replica: Replica, message: ConsensusMessage, now: float) -> None:
    """Take in a message for this member; drop what is for another or a former one."""
    if message.group != replica.group or replica.expelled:
        return

    if isinstance(message, Probe | JoinRequest):
        receive_by_name(replica, message)
        return

    if message.target != replica.member:
        return

    if isinstance(message, RequestVote):
        receive_vote_request(replica, message, now)
    elif isinstance(message, VoteAnswer):
        receive_vote_answer(replica, message, now)
    elif isinstance(message, ProbeAnswer):
        receive_probe_answer(replica, message, now)
    elif isinstance(message, Expelled):
        replica.expelled = True
    else:
        receive_in_term(replica, message, now)


def receive_by_name(replica: Replica, message: Probe | JoinRequest) -> None:
    """Take in what a member sends that doesn't know our id."""
    if message.target != replica.name:
        return

    if isinstance(message, Probe):
        receive_probe(replica, message)
        return

    receive_join(replica, message)


def receive_in_term(replica: Replica, message: ConsensusMessage, now: float) -> None:
    """Move to a later term first, if the message is of one."""
    if message.term > replica.term:
        become_follower(replica, message.term, "", now)

    if isinstance(message, AppendEntries):
        receive_append(replica, message, now)
    elif isinstance(message, AppendAnswer):
        receive_append_answer(replica, message, now)
    elif isinstance(message, InstallSnapshot):
        receive_snapshot(replica, message, now)
    elif isinstance(message, SnapshotAnswer):
        receive_snapshot_answer(replica, message, now)
    elif isinstance(message, TimeoutNow):
        receive_timeout_now(replica, message, now)
