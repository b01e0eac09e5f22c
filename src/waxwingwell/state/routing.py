"""The replicated state of a routing group: the document in force, and roll-outs.

Deterministic, without clock or I/O: each replica that applies the same commands
reaches an equal state.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

import msgspec

from ..routing.messages import BeginRollout
from ..routing.messages import EndRollout
from ..routing.messages import GrowRollout
from ..routing.messages import Publish
from ..routing.messages import RolloutState
from ..routing.messages import RoutingCommand
from ..routing.records import Document


RESEND_WINDOW = 6.0
"""An order for the same target within this time is a resend: operators repeat an order
whose answer was lost for a few seconds only."""

_COMMAND_DECODER = msgspec.msgpack.Decoder(RoutingCommand)


class SavedRouting(msgspec.Struct, frozen=True):
    """The state as a snapshot holds it."""

    document: Document | None
    source: bytes
    rollouts: tuple[RolloutState, ...]


@dataclass(slots=True)
class RoutingState:
    """What all members of a routing group agree on."""

    document: Document | None = None
    source: bytes = b""
    rollouts: dict[str, RolloutState] = field(default_factory=dict)
    """By service; the latest one of each."""


def version_of(state: RoutingState) -> int:
    """Return the version in force, -1 if nothing was published yet."""
    return -1 if state.document is None else state.document.version


def apply_routing(state: RoutingState, command: RoutingCommand) -> None:
    """Apply one committed command."""
    match command:
        case Publish():
            publish(state, command)
        case BeginRollout():
            start_rollout(state, command)
        case GrowRollout():
            raise_share(state, command)
        case EndRollout():
            finish_rollout(state, command)


def publish(state: RoutingState, command: Publish) -> None:
    """Take a document if its version is higher than the one held.

    Failure: an older change that was held up arrives again, or other content comes
    under the version held; neither may be obeyed, though both are acknowledged.
    """
    if command.document.version > version_of(state):
        state.document = command.document
        state.source = command.source


def start_rollout(state: RoutingState, command: BeginRollout) -> None:
    """Begin a move unless this is a resend of the latest order for the service."""
    current = state.rollouts.get(command.service)
    if current is not None and current.target == command.target:
        recent = abs(command.ordered_at - current.ordered_at) < RESEND_WINDOW
        if recent or current.state != "reverted":
            return

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
    )


def find_ongoing_rollout(
    state: RoutingState, command: GrowRollout | EndRollout
) -> RolloutState | None:
    """Return the move under way that a command means."""
    current = state.rollouts.get(command.service)
    if current is None or current.state != "in_progress":
        return None

    matches = (current.target, current.ordered_at) == (
        command.target,
        command.ordered_at,
    )
    return current if matches else None


def raise_share(state: RoutingState, command: GrowRollout) -> None:
    """Raise a move's share; it never falls."""
    current = find_ongoing_rollout(state, command)
    if current is not None and command.share > current.share:
        updated = msgspec.structs.replace(current, share=command.share)
        state.rollouts[command.service] = updated


def finish_rollout(state: RoutingState, command: EndRollout) -> None:
    """Finish a move for good."""
    current = find_ongoing_rollout(state, command)
    if current is None:
        return

    outcome = "completed" if command.completed else "reverted"
    share = 1.0 if command.completed else 0.0
    ended = msgspec.structs.replace(current, state=outcome, share=share)
    state.rollouts[command.service] = ended


def decode_command(data: bytes) -> RoutingCommand:
    """Return a command from the log."""
    return _COMMAND_DECODER.decode(data)


def save_routing(state: RoutingState) -> bytes:
    """Return the whole state as bytes."""
    rollouts = tuple(state.rollouts.values())
    saved = SavedRouting(state.document, state.source, rollouts)
    return msgspec.msgpack.encode(saved)


def load_routing(data: bytes) -> RoutingState:
    """Return the state that ``save_routing`` saved."""
    saved = msgspec.msgpack.decode(data, type=SavedRouting)
    return RoutingState(
        document=saved.document,
        source=saved.source,
        rollouts={rollout.service: rollout for rollout in saved.rollouts},
    )
