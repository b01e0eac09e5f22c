"""Log replication at a follower: appending entries and responding."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .log import first_index_of_term
from .log import last_index
from .log import term_at
from .messages import AppendAnswer
from .replica import append_received
from .replica import follow_leader
from .replica import set_commit
from .replica import truncate_entries


if TYPE_CHECKING:
    from .messages import AppendEntries
    from .replica import Replica


def receive_append(replica: Replica, message: AppendEntries, now: float) -> None:
    """Append entries from the leader of this term and respond."""
    if message.term < replica.term:
        send_append_response(replica, message, success=False)
        return

    follow_leader(replica, message.sender, message.term, now)
    if not matches_previous_entry(replica, message):
        reject_append(replica, message)
        return

    append_entries(replica, message)
    match = message.previous_index + len(message.entries)
    commit = min(message.commit, match)
    if commit > replica.commit:
        set_commit(replica, commit)

    send_append_response(replica, message, success=True, match=match)


def matches_previous_entry(replica: Replica, message: AppendEntries) -> bool:
    """Return whether the log holds the entry before the batch, of the same term."""
    previous = message.previous_index
    if previous <= replica.log.base_index or previous <= replica.commit:
        return True

    return term_at(replica.log, previous) == message.previous_term


def append_entries(replica: Replica, message: AppendEntries) -> None:
    """Append new entries; replace conflicting entries, which are uncommitted."""
    for offset, entry in enumerate(message.entries, start=1):
        index = message.previous_index + offset
        if index <= replica.log.base_index:
            continue

        held = term_at(replica.log, index)
        if held == entry.term:
            continue

        if held is not None:
            truncate_entries(replica, index)

        append_received(replica, entry)


def reject_append(replica: Replica, message: AppendEntries) -> None:
    """Reject with a conflict hint, so that the leader skips a whole term at once."""
    previous = message.previous_index
    if previous > last_index(replica.log):
        send_append_response(
            replica, message, success=False, conflict_index=last_index(replica.log) + 1
        )
        return

    send_append_response(
        replica,
        message,
        success=False,
        conflict_term=term_at(replica.log, previous) or 0,
        conflict_index=first_index_of_term(replica.log, previous),
    )


def send_append_response(
    replica: Replica,
    message: AppendEntries,
    *,
    success: bool,
    match: int = 0,
    conflict_term: int = 0,
    conflict_index: int = 0,
) -> None:
    """Queue the response; it is sent after the entries are synced."""
    response = AppendAnswer(
        group=replica.group,
        sender=replica.member,
        target=message.sender,
        term=replica.term,
        sent_at=message.sent_at,
        previous_index=message.previous_index,
        success=success,
        match=match,
        conflict_term=conflict_term,
        conflict_index=conflict_index,
    )
    replica.outbox.append(response)
