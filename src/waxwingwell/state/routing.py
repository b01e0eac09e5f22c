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


RESEND_SECONDS = 6.0
"""An order for the same target within this time is a resend: operators repeat an order
whose answer was lost for a few seconds only."""

_COMMANDS = msgspec.msgpack.Decoder(RoutingCommand)


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
            begin_rollout(state, command)
        case GrowRollout():
            grow_rollout(state, command)
        case EndRollout():
            end_rollout(state, command)


def publish(state: RoutingState, command: Publish) -> None:
    """Take a document if its version is higher than the one held.

    Failure: an older change that was held up arrives again, or other content comes
    under the version held; neither may be obeyed, though both are acknowledged.
    """
    if command.document.version > version_of(state):
        state.document = command.document
        state.source = command.source


def begin_rollout(state: RoutingState, command: BeginRollout) -> None:
    """Begin a move unless this is a resend of the latest order for the service."""
    held = state.rollouts.get(command.service)
    if held is not None and held.target == command.target:
        recent = abs(command.ordered_at - held.ordered_at) < RESEND_SECONDS
        if recent or held.state != "reverted":
            return

    former = held.former if held is not None else ""
    if held is not None and held.state == "completed":
        former = held.target

    state.rollouts[command.service] = RolloutState(
        service=command.service,
        target=command.target,
        former=former,
        duration=command.duration,
        ordered_at=command.ordered_at,
        share=0.0,
        state="in_progress",
    )


def find_rollout(
    state: RoutingState, command: GrowRollout | EndRollout
) -> RolloutState | None:
    """Return the move under way that a command means."""
    held = state.rollouts.get(command.service)
    if held is None or held.state != "in_progress":
        return None

    same = (held.target, held.ordered_at) == (command.target, command.ordered_at)
    return held if same else None


def grow_rollout(state: RoutingState, command: GrowRollout) -> None:
    """Raise a move's share; it never falls."""
    held = find_rollout(state, command)
    if held is not None and command.share > held.share:
        grown = msgspec.structs.replace(held, share=command.share)
        state.rollouts[command.service] = grown


def end_rollout(state: RoutingState, command: EndRollout) -> None:
    """Finish a move for good."""
    held = find_rollout(state, command)
    if held is None:
        return

    outcome = "completed" if command.completed else "reverted"
    share = 1.0 if command.completed else 0.0
    ended = msgspec.structs.replace(held, state=outcome, share=share)
    state.rollouts[command.service] = ended


def decode_command(data: bytes) -> RoutingCommand:
    """Return a command from the log."""
    return _COMMANDS.decode(data)


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
