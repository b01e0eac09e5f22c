"""The replicated state of a routing group: document, roll-outs and evacuations.

It is deterministic and uses no clock or I/O, so that replicas that apply the same
commands reach equal states.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

import msgspec

from ..routing.messages import BeginRollout
from ..routing.messages import EndRollout
from ..routing.messages import EvacuationState
from ..routing.messages import GrowRollout
from ..routing.messages import Publish
from ..routing.messages import RolloutState
from ..routing.messages import RoutingCommand
from ..routing.messages import SetEvacuation
from ..routing.records import Document


RESEND_WINDOW = 6.0
"""Seconds in which an order for the same target counts as a resend; operators resend an
order whose response was lost for a few seconds only."""

_COMMAND_DECODER = msgspec.msgpack.Decoder(RoutingCommand)


class SavedRouting(msgspec.Struct, frozen=True):
    """The state as stored in a snapshot."""

    document: Document | None
    source: bytes
    rollouts: tuple[RolloutState, ...]
    evacuations: tuple[EvacuationState, ...] = ()


@dataclass(slots=True)
class RoutingState:
    """State shared by all members of a routing group."""

    document: Document | None = None
    source: bytes = b""
    rollouts: dict[str, RolloutState] = field(default_factory=dict)
    """Latest roll-out by service."""
    evacuations: dict[str, EvacuationState] = field(default_factory=dict)
    """Evacuation of each data centre that was ever evacuated, by name."""


def version_of(state: RoutingState) -> int:
    """Return the current document version, or -1 if none was published yet."""
    return -1 if state.document is None else state.document.version


def apply_routing(state: RoutingState, command: RoutingCommand) -> bool:
    """Apply one committed command; return false if it is rejected as overtaken."""
    match command:
        case Publish():
            publish(state, command)
        case BeginRollout():
            return start_rollout(state, command)
        case GrowRollout():
            raise_share(state, command)
        case EndRollout():
            finish_rollout(state, command)
        case SetEvacuation():
            return set_evacuation(state, command)

    return True


def publish(state: RoutingState, command: Publish) -> None:
    """Store a document if its version is higher than the current one.

    A delayed older change, or different content with the current version number, is
    acknowledged but must not take effect.
    """
    if command.document.version > version_of(state):
        state.document = command.document
        state.source = command.source


def start_rollout(state: RoutingState, command: BeginRollout) -> bool:
    """Start a roll-out, unless this resends the latest order for the service.

    Return whether the order holds. One that was delayed while another roll-out was
    ordered, or the same one has ended, carries an old revision and must not start it.
    """
    current = state.rollouts.get(command.service)
    if current is not None and current.target == command.target:
        recent = abs(command.ordered_at - current.ordered_at) < RESEND_WINDOW
        if recent or current.state != "reverted":
            return True

    revision = count_rollouts(state, command.service)
    if command.revision not in (None, revision):
        return False

    former = current.former if current is not None else ""
    if current is not None and current.state == "completed":
        former = current.target

    state.rollouts[command.service] = RolloutState(
        service=command.service,
        target=command.target,
        former=former,
        duration=command.duration,
        ordered_at=command.ordered_at,
        share=0.0,
        state="in_progress",
        revision=revision + 1,
    )
    return True


def count_rollouts(state: RoutingState, service: str) -> int:
    """Return the number of roll-outs of a service so far."""
    current = state.rollouts.get(service)
    return 0 if current is None else current.revision


def find_ongoing_rollout(
    state: RoutingState, command: GrowRollout | EndRollout
) -> RolloutState | None:
    """Return the ongoing roll-out that a command refers to, or None."""
    current = state.rollouts.get(command.service)
    if current is None or current.state != "in_progress":
        return None

    matches = (current.target, current.ordered_at) == (
        command.target,
        command.ordered_at,
    )
    return current if matches else None


def raise_share(state: RoutingState, command: GrowRollout) -> None:
    """Raise the share of a roll-out; it never decreases."""
    current = find_ongoing_rollout(state, command)
    if current is not None and command.share > current.share:
        updated = msgspec.structs.replace(current, share=command.share)
        state.rollouts[command.service] = updated


def finish_rollout(state: RoutingState, command: EndRollout) -> None:
    """Complete or revert a roll-out, which is final."""
    current = find_ongoing_rollout(state, command)
    if current is None:
        return

    outcome = "completed" if command.completed else "reverted"
    share = 1.0 if command.completed else 0.0
    ended = msgspec.structs.replace(current, state=outcome, share=share)
    state.rollouts[command.service] = ended


def set_evacuation(state: RoutingState, command: SetEvacuation) -> bool:
    """Evacuate a data centre or withdraw its evacuation; return whether it holds.

    A resent order finds its effect in place. An order that was delayed while the
    operator's later ones were accepted carries an old revision and must not undo them;
    so one that finds its effect in place counts as well, unless it is a resend.
    """
    current = find_evacuation(state, command.data_centre)
    if current.revision != command.revision:
        return current.active == command.active

    state.evacuations[command.data_centre] = EvacuationState(
        data_centre=command.data_centre,
        active=command.active,
        revision=current.revision + 1,
    )
    return True


def find_evacuation(state: RoutingState, data_centre: str) -> EvacuationState:
    """Return the state of a data centre's evacuation."""
    known = state.evacuations.get(data_centre)
    if known is not None:
        return known

    return EvacuationState(data_centre=data_centre, active=False, revision=0)


def list_evacuated(state: RoutingState) -> tuple[str, ...]:
    """Return the names of the evacuated data centres, sorted."""
    return tuple(
        sorted(one.data_centre for one in state.evacuations.values() if one.active)
    )


def decode_command(data: bytes) -> RoutingCommand:
    """Return the command encoded in a log entry."""
    return _COMMAND_DECODER.decode(data)


def save_routing(state: RoutingState) -> bytes:
    """Return the whole state as bytes that ``load_routing`` can read."""
    rollouts = tuple(state.rollouts.values())
    evacuations = tuple(state.evacuations.values())
    saved = SavedRouting(state.document, state.source, rollouts, evacuations)
    return msgspec.msgpack.encode(saved)


def load_routing(data: bytes) -> RoutingState:
    """Return the state saved by ``save_routing``."""
    saved = msgspec.msgpack.decode(data, type=SavedRouting)
    return RoutingState(
        document=saved.document,
        source=saved.source,
        rollouts={rollout.service: rollout for rollout in saved.rollouts},
        evacuations={one.data_centre: one for one in saved.evacuations},
    )
