"""The control state machine: applies committed commands deterministically.

It uses no clock, randomness or I/O, so that replicas that apply the same log to the
same state reach equal states. Time stamps are part of the commands; the leader sets
them with ``stamp_command`` before proposing, so that one clock is used at a time.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import msgspec

from ..messages import Change
from ..messages import Command
from ..messages import PinSession
from ..messages import RecordEvidence
from ..messages import Reserve
from ..messages import Settle
from ..messages import SettleAbandoned
from .audit import record_change
from .catalogue import make_snapshot as make_config_snapshot
from .configuration import ConfigChange
from .configuration import apply_change
from .control import ControlState
from .evidence import list_evidence
from .evidence import record_evidence
from .images import load_state
from .images import save_state
from .ledger import reserve
from .ledger import settle
from .ledger import sweep
from .pins import pin_session


if TYPE_CHECKING:
    from ..messages import ConfigSnapshot
    from ..messages import Outcome


def apply_command(state: ControlState, command: Command) -> Outcome:
    """Apply one committed command and return the outcome for its sender."""
    match command:
        case Reserve():
            return reserve(state.ledger, command)
        case Settle():
            return settle(state.ledger, command)
        case PinSession():
            return pin_session(state.pins, state.config, command)
        case RecordEvidence():
            return record_evidence(state.evidence, command)
        case SettleAbandoned():
            return sweep(state.ledger, command)
        case _:
            return _apply_audited(state, command)


def _apply_audited(state: ControlState, change: ConfigChange) -> Outcome:
    """Apply a change and record it in the audit trail unless it is a resend."""
    resent = change.change_id in state.config.changes
    outcome = apply_change(state.config, change, list_evidence(state.evidence))
    if not resent:
        record_change(state.audit, change, outcome)

    return outcome


def stamp_command(command: Command, at: float) -> Command:
    """Return the command stamped with the proposing leader's wall clock time."""
    if isinstance(command, Reserve):
        return Reserve(row=replace(command.row, reserved_at=at))

    if isinstance(command, Change | Settle | SettleAbandoned | PinSession):
        return msgspec.structs.replace(command, at=at)

    return command


def make_snapshot(state: ControlState) -> ConfigSnapshot:
    """Return the current configuration as sent to entries."""
    return make_config_snapshot(state.config)


__all__ = [
    "ControlState",
    "apply_command",
    "load_state",
    "make_snapshot",
    "save_state",
    "stamp_command",
]
