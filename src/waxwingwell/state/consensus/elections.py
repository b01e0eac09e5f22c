"""Leader election: pre-vote, vote, and the target's part of a transfer."""

from __future__ import annotations

from .lease import must_withhold_vote
from .log import last_index
from .log import last_term
from .messages import Expelled
from .messages import RequestVote
from .messages import TimeoutNow
from .messages import VoteAnswer
from .records import Role
from .records import quorum
from .replica import Replica
from .replica import become_follower
from .replica import is_voter
from .replica import reset_election_timer
from .replica import set_term
from .replication import become_leader


def start_pre_vote(replica: Replica, now: float) -> None:
    """Ask whether an election could be won, without incrementing the term.

    Otherwise a member that returns from a partition with a high term would depose
    a leader that all others follow. Members that hear a leader deny the pre-vote.
    """
    replica.role = Role.PRE_CANDIDATE
    replica.leader = ""
    replica.votes = {replica.member}
    reset_pre_vote_timer(replica, now)
    request_votes(replica, replica.term + 1, pre=True)
    count_votes(replica, now)


def reset_pre_vote_timer(replica: Replica, now: float) -> None:
    """Schedule the next pre-vote after one to two heartbeat intervals.

    When all members restart, the first may ask before its links are up or while the
    others still withhold their votes. Waiting another full election timeout would
    delay the election; a pre-vote increments no term, so repeating it is harmless.
    """
    heartbeat = replica.timing.heartbeat
    replica.election_at = now + replica.random.uniform(heartbeat, 2 * heartbeat)


def start_election(replica: Replica, now: float, *, transfer: bool = False) -> None:
    """Become a candidate in the next term and request the other voters' votes."""
    set_term(replica, replica.term + 1, replica.member)
    replica.role = Role.CANDIDATE
    replica.leader = ""
    replica.votes = {replica.member}
    reset_election_timer(replica, now)
    request_votes(replica, replica.term, transfer=transfer)
    count_votes(replica, now)


def request_votes(
    replica: Replica, term: int, *, pre: bool = False, transfer: bool = False
) -> None:
    """Queue a vote or pre-vote request to every other voter."""
    for voter in replica.membership.voters:
        if voter == replica.member:
            continue

        request = RequestVote(
            group=replica.group,
            sender=replica.member,
            target=voter,
            term=term,
            last_index=last_index(replica.log),
            last_term=last_term(replica.log),
            pre=pre,
            transfer=transfer,
        )
        replica.outbox.append(request)


def count_votes(replica: Replica, now: float) -> None:
    """Proceed from pre-vote to election, or to leader, once a majority agrees."""
    voters = replica.membership.voters
    if len(replica.votes.intersection(voters)) < quorum(voters):
        return

    if replica.role is Role.PRE_CANDIDATE:
        start_election(replica, now)
        return

    if replica.role is Role.CANDIDATE:
        become_leader(replica, now)


def receive_vote_request(replica: Replica, request: RequestVote, now: float) -> None:
    """Grant or deny a vote or pre-vote."""
    if notify_if_expelled(replica, request.sender):
        return

    if must_withhold_vote(replica, now) and not request.transfer:
        send_vote_response(replica, request, granted=False)
        return

    if request.term > replica.term and not request.pre:
        become_follower(replica, request.term, "", now)

    granted = can_grant_vote(replica, request)
    if granted and not request.pre:
        set_term(replica, request.term, request.sender)
        reset_election_timer(replica, now)

    send_vote_response(replica, request, granted=granted)


def can_grant_vote(replica: Replica, request: RequestVote) -> bool:
    """Return whether the candidate's term and log are recent enough for a vote."""
    if request.term < replica.term:
        return False

    if not request.pre and replica.voted_for not in ("", request.sender):
        return False

    if request.pre and request.term == replica.term:
        return False

    candidate_log = (request.last_term, request.last_index)
    return candidate_log >= (last_term(replica.log), last_index(replica.log))


def send_vote_response(
    replica: Replica, request: RequestVote, *, granted: bool
) -> None:
    """Queue the response; it is sent after the vote is synced."""
    response = VoteAnswer(
        group=replica.group,
        sender=replica.member,
        target=request.sender,
        term=request.term if granted else replica.term,
        granted=granted,
        pre=request.pre,
    )
    replica.outbox.append(response)


def notify_if_expelled(replica: Replica, sender: str) -> bool:
    """Notify a member whose removal is committed, so that it stops and logs why.

    Return whether it was notified.
    """
    if sender not in replica.membership.removed:
        return False

    if replica.membership_index > replica.commit:
        return False

    notice = Expelled(
        group=replica.group, sender=replica.member, target=sender, term=replica.term
    )
    replica.outbox.append(notice)
    return True


def receive_vote_response(replica: Replica, response: VoteAnswer, now: float) -> None:
    """Count a vote granted in the current election or pre-vote."""
    if not response.granted:
        if response.term > replica.term:
            become_follower(replica, response.term, "", now)
        return

    expected_role = Role.PRE_CANDIDATE if response.pre else Role.CANDIDATE
    expected_term = replica.term + 1 if response.pre else replica.term
    if replica.role is not expected_role or response.term != expected_term:
        return

    replica.votes.add(response.sender)
    count_votes(replica, now)


def receive_timeout_now(replica: Replica, message: TimeoutNow, now: float) -> None:
    """Start an election at once if the sender leads this term and we are a voter."""
    if message.term != replica.term or replica.leader != message.sender:
        return

    if not is_voter(replica):
        return

    start_election(replica, now, transfer=True)
