"""Handlers for the calls and casts that reach a control process."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING
from typing import Any

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.defer import succeed

from ...messages import AskInForce
from ...messages import Failed
from ...messages import InForce
from ...messages import LeaseBehind
from ...messages import LeaseGranted
from ...messages import Message
from ...messages import NotLeader
from ...messages import Outcome
from ...messages import RenewLease
from ...messages import Submit
from ...state.catalogue import make_delta
from ...state.consensus.messages import ConsensusMessage
from ...state.evidence import list_evidence
from ...state.group import Committed
from ...state.group import NotLeading
from ...state.group import ProposalOutcome
from ...state.group import flush_group
from ...state.group import leader_of
from ...state.group import leads
from ...state.group import propose
from ...state.group import receive_message
from ...state.group import term_of
from ...state.leases import is_in_force
from ...state.leases import renew_lease
from ...state.machine import make_snapshot
from ...state.machine import stamp_command


if TYPE_CHECKING:
    from ...messages import Command
    from ...state.leases import EntryLeases
    from .context import ControlContext


_OUTCOMES = msgspec.msgpack.Decoder(Outcome)


def handle_call(context: ControlContext, sender: str, body: Any) -> Deferred[Message]:
    """Reply to a call from an entry or another control process."""
    if isinstance(body, Submit):
        return submit(context, body.command)

    if isinstance(body, RenewLease):
        return succeed(_renew(context, body))

    if isinstance(body, AskInForce):
        return succeed(ask_in_force(context, body.config_version))

    return succeed(
        Failed(reason=f"{type(body).__name__} from {sender}", may_have_run=False)
    )


def handle_cast(context: ControlContext, sender: str, body: Any) -> None:
    """Handle a message of the replicated log; ignore any other."""
    if isinstance(body, ConsensusMessage):
        receive_message(context.group, sender, body, context.clock())
        request_flush(context)


def submit(context: ControlContext, command: Command) -> Deferred[Message]:
    """Commit a command to the log; the result is its outcome.

    Otherwise it is ``NotLeader`` if the command provably did not run, and ``Failed``
    if it may have run.
    """
    reply: Deferred[Message] = Deferred()
    stamped = stamp_command(command, context.wall_clock())

    def finish(outcome: ProposalOutcome) -> None:
        if isinstance(outcome, Committed):
            reply.callback(_OUTCOMES.decode(outcome.result))
        elif isinstance(outcome, NotLeading):
            reply.callback(NotLeader(leader=outcome.leader))
        else:
            reply.callback(Failed(reason="leadership was lost", may_have_run=True))

    propose(context.group, msgspec.msgpack.encode(stamped), finish, context.clock())
    request_flush(context)
    return reply


def ask_in_force(context: ControlContext, config_version: int) -> InForce | NotLeader:
    """Return whether a committed configuration is in force at every entry."""
    now = context.clock()
    leases = get_leases(context, now)
    if leases is None:
        return NotLeader(leader=leader_of(context.group))

    if config_version > context.holder.state.config.config_version:
        return InForce(in_force=False)

    return is_in_force(leases, config_version, now)


def get_leases(context: ControlContext, now: float) -> EntryLeases | None:
    """Return the leases of this process's current term, or None unless it leads.

    The term is compared because leadership can be lost and won again between two
    ticks; the table of the earlier term would claim too soon to know all leases.
    """
    if not leads(context.group, now):
        return None

    if context.leases_term != term_of(context.group):
        return None

    return context.leases


def request_flush(context: ControlContext) -> None:
    """Schedule a flush for all messages of this reactor turn: one durable write."""
    if context.flush_due:
        return

    context.flush_due = True
    context.reactor.callLater(0, run_flush, context)


def run_flush(context: ControlContext) -> None:
    """Write everything since the last flush durably, then send and apply it."""
    context.flush_due = False
    flush_group(context.group, context.clock())


def _renew(context: ControlContext, message: RenewLease) -> Message:
    """Grant or refuse a configuration lease.

    ``now`` is read after the snapshot, so leadership is confirmed for a time after it;
    a partitioned leader would otherwise grant leases on an old configuration.
    """
    snapshot = make_snapshot(context.holder.state)
    now = context.clock()
    leases = get_leases(context, now)
    if leases is None:
        return NotLeader(leader=leader_of(context.group))

    reply = renew_lease(
        leases,
        message,
        snapshot=snapshot,
        now=now,
        list_evidence=partial(list_evidence, context.holder.state.evidence),
        term=term_of(context.group),
    )
    if isinstance(reply, LeaseGranted):
        return reply

    config = context.holder.state.config
    return LeaseBehind(snapshot=make_delta(config, message.config_version))
