"""Placement of work: an upstream at once, a wait in the queue, or a refusal."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred

from ...decisions.queue import dequeue_next
from ...decisions.queue import place_work
from ...decisions.queue import remove_waiting
from ...decisions.queue import shed_expired
from ...decisions.tables import Refusal
from ...decisions.tables import Waiting
from ...decisions.upstreams import UpstreamChoice
from ...decisions.upstreams import choose_upstream
from .replies import make_problem


if TYPE_CHECKING:
    from ...decisions.tables import Work
    from ...records import UpstreamId
    from ...records import VersionId
    from .context import EntryContext


CALLER_GONE = Refusal("caller_gone", "the caller went away while waiting", 499)


@dataclass(slots=True)
class Placements:
    """Requests that wait in the queue, by request id."""

    waiting: dict[str, Deferred[UpstreamChoice | Refusal]] = field(default_factory=dict)


async def place_request(
    context: EntryContext,
    placements: Placements,
    work: Work,
    version: VersionId,
    exclude: frozenset[UpstreamId],
) -> UpstreamChoice:
    """Return the chosen upstream; ``Problem`` if the request is refused."""
    now = context.clock()
    draw = context.random.random()
    result: UpstreamChoice | Refusal | Waiting
    if exclude:
        result = choose_upstream(
            context.tables, work, version, exclude=exclude, now=now, draw=draw
        )
    else:
        result = place_work(context.tables, work, version, now=now, draw=draw)

    if isinstance(result, Waiting):
        placement: Deferred[UpstreamChoice | Refusal] = Deferred()
        placements.waiting[work.request] = placement
        run_queue(context, placements)
        result = await placement

    if isinstance(result, Refusal):
        raise make_problem(result)

    return result


def run_queue(context: EntryContext, placements: Placements) -> None:
    """Place requests while there is capacity; refuse those that can't start in time."""
    now = context.clock()
    for expired in shed_expired(context.tables, now):
        _resolve(placements, expired.waiting.work.request, expired.result)

    while context.tables.waiting:
        placed = dequeue_next(context.tables, now, context.random.random())
        if placed is None:
            return

        _resolve(placements, placed.waiting.work.request, placed.result)


def remove_from_queue(
    context: EntryContext, placements: Placements, request: str
) -> None:
    """Remove a waiting request whose caller has disconnected."""
    if remove_waiting(context.tables, request) is not None:
        _resolve(placements, request, CALLER_GONE)


def _resolve(
    placements: Placements, request: str, result: UpstreamChoice | Refusal
) -> None:
    waiting = placements.waiting.pop(request, None)
    if waiting is not None:
        waiting.callback(result)
