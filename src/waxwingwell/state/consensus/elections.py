"""Elections: pre-vote, vote, and the hand-over of leadership."""

from __future__ import annotations

from .lease import promises_leader
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
from .replica import draw_election_time
from .replica import is_voter
from .replica import set_term
from .replication import become_leader


def ask_pre_votes(replica: Replica, now: float) -> None:
    """Ask whether an election could be won, without moving any term.

    Failure: a member that was cut off returns with a high term and unseats a
    leader that serves everyone else. Members that hear a leader deny a pre-vote.
    """
    replica.role = Role.PRE_CANDIDATE
    replica.leader = ""
    replica.votes = {replica.member}
    draw_pre_vote_time(replica, now)
    request_votes(replica, replica.term + 1, pre=True)
    count_votes(replica, now)


def draw_pre_vote_time(replica: Replica, now: float) -> None:
    """Ask for pre-votes again soon: they move no term, so asking harms nobody.

    Failure: all members restart, and the first asks before its links are up, or while
    the others still keep a promise. It would wait a whole election timeout more.
    """
    heartbeat = replica.timing.heartbeat
    replica.election_at = now + replica.random.uniform(heartbeat, 2 * heartbeat)


def stand_for_election(replica: Replica, now: float, *, transfer: bool = False) -> None:
    """Vote for oneself in the next term and ask the others."""
    set_term(replica, replica.term + 1, replica.member)
    replica.role = Role.CANDIDATE
    replica.leader = ""
    replica.votes = {replica.member}
    draw_election_time(replica, now)
    request_votes(replica, replica.term, transfer=transfer)
    count_votes(replica, now)


def request_votes(
    replica: Replica, term: int, *, pre: bool = False, transfer: bool = False
) -> None:
    """Queue a request to every other voter."""
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
    """Go on to the next step once a majority of the voters agrees."""
    voters = replica.membership.voters
    if len(replica.votes.intersection(voters)) < quorum(voters):
        return

    if replica.role is Role.PRE_CANDIDATE:
        stand_for_election(replica, now)
        return

    if replica.role is Role.CANDIDATE:
        become_leader(replica, now)


def receive_vote_request(replica: Replica, request: RequestVote, now: float) -> None:
    """Give a vote, or deny it."""
    if tell_if_expelled(replica, request.sender):
        return

    if promises_leader(replica, now) and not request.transfer:
        answer_vote(replica, request, granted=False)
        return

    if request.term > replica.term and not request.pre:
        become_follower(replica, request.term, "", now)

    granted = may_vote(replica, request)
    if granted and not request.pre:
        set_term(replica, request.term, request.sender)
        draw_election_time(replica, now)

    answer_vote(replica, request, granted=granted)


def may_vote(replica: Replica, request: RequestVote) -> bool:
    """Return whether the asker's term and log allow a vote for it."""
    if request.term < replica.term:
        return False

    if not request.pre and replica.voted_for not in ("", request.sender):
        return False

    if request.pre and request.term == replica.term:
        return False

    theirs = (request.last_term, request.last_index)
    return theirs >= (last_term(replica.log), last_index(replica.log))


def answer_vote(replica: Replica, request: RequestVote, *, granted: bool) -> None:
    """Queue the answer; it leaves after the vote is synced."""
    answer = VoteAnswer(
        group=replica.group,
        sender=replica.member,
        target=request.sender,
        term=request.term if granted else replica.term,
        granted=granted,
        pre=request.pre,
    )
    replica.outbox.append(answer)


def tell_if_expelled(replica: Replica, sender: str) -> bool:
    """Tell a removed member that it is out, so that it stops and says so."""
    if sender not in replica.membership.removed:
        return False

    if replica.membership_index > replica.commit:
        return False

    notice = Expelled(
        group=replica.group, sender=replica.member, target=sender, term=replica.term
    )
    replica.outbox.append(notice)
    return True


def receive_vote_answer(replica: Replica, answer: VoteAnswer, now: float) -> None:
    """Count a vote of the election that is going on."""
    if not answer.granted:
        if answer.term > replica.term:
            become_follower(replica, answer.term, "", now)
        return

    wanted = Role.PRE_CANDIDATE if answer.pre else Role.CANDIDATE
    asked = replica.term + 1 if answer.pre else replica.term
    if replica.role is not wanted or answer.term != asked:
        return

    replica.votes.add(answer.sender)
    count_votes(replica, now)


def receive_timeout_now(replica: Replica, message: TimeoutNow, now: float) -> None:
    """Stand at once, if the sender still leads this term and we may lead."""
    if message.term != replica.term or replica.leader != message.sender:
        return

    if not is_voter(replica):
        return

    stand_for_election(replica, now, transfer=True)
