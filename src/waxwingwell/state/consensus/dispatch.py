"""Entry points of a replica: timer ticks and received messages."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .bootstrap import bootstrap_or_join
from .bootstrap import is_empty
from .bootstrap import receive_probe
from .bootstrap import receive_probe_response
from .bootstrap import retry_join
from .elections import receive_timeout_now
from .elections import receive_vote_request
from .elections import receive_vote_response
from .elections import start_pre_vote
from .follower import receive_append
from .lease import lost_quorum
from .membership import receive_join_request
from .membership import repair_membership
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
from .replication import receive_append_response
from .replication import receive_snapshot_response
from .replication import send_heartbeats
from .replication import step_down_if_removed
from .snapshots import receive_snapshot


if TYPE_CHECKING:
    from .messages import ConsensusMessage
    from .replica import Replica


def tick(replica: Replica, now: float) -> None:
    """Run the timers that are due."""
    if replica.expelled:
        return

    if replica.role is Role.LEADER:
        tick_leader(replica, now)
        return

    if is_empty(replica):
        bootstrap_or_join(replica, now)
        return

    retry_join(replica, now)
    if is_voter(replica) and now >= replica.election_at:
        start_pre_vote(replica, now)


def tick_leader(replica: Replica, now: float) -> None:
    """Step down without a responding majority; else send heartbeats and repair."""
    step_down_if_removed(replica, now)
    expire_transfer(replica, now)
    if replica.role is not Role.LEADER:
        return

    if lost_quorum(replica, now):
        become_follower(replica, replica.term, "", now)
        return

    repair_membership(replica, now)
    if now >= replica.heartbeat_at:
        send_heartbeats(replica, now)


def expire_transfer(replica: Replica, now: float) -> None:
    """Abort a leadership transfer whose deadline has passed.

    Once ``TimeoutNow`` is sent, the lease can't be regained in this term, so the
    leader steps down to let a new term start.
    """
    transfer = replica.transfer
    if transfer is None or now < transfer.deadline:
        return

    replica.transfer = None
    if transfer.sent:
        become_follower(replica, replica.term, "", now)


def receive(replica: Replica, message: ConsensusMessage, now: float) -> None:
    """Handle a message; drop it if it is for another member or a former id."""
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
        receive_vote_response(replica, message, now)
    elif isinstance(message, ProbeAnswer):
        receive_probe_response(replica, message, now)
    elif isinstance(message, Expelled):
        replica.expelled = True
    else:
        receive_in_term(replica, message, now)


def receive_by_name(replica: Replica, message: Probe | JoinRequest) -> None:
    """Handle a message addressed by name, as its sender doesn't know the id."""
    if message.target != replica.name:
        return

    if isinstance(message, Probe):
        receive_probe(replica, message)
        return

    receive_join_request(replica, message)


def receive_in_term(replica: Replica, message: ConsensusMessage, now: float) -> None:
    """Handle a message of a term, after adopting that term if it is later."""
    if message.term > replica.term:
        become_follower(replica, message.term, "", now)

    if isinstance(message, AppendEntries):
        receive_append(replica, message, now)
    elif isinstance(message, AppendAnswer):
        receive_append_response(replica, message, now)
    elif isinstance(message, InstallSnapshot):
        receive_snapshot(replica, message, now)
    elif isinstance(message, SnapshotAnswer):
        receive_snapshot_response(replica, message, now)
    elif isinstance(message, TimeoutNow):
        receive_timeout_now(replica, message, now)
