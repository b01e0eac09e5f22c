"""Routes that show, add, remove and drain control processes and entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from twisted.internet.defer import Deferred

from ...state.consensus.records import name_of
from ...state.group import Committed
from ...state.group import ProposalOutcome
from ...state.group import leads
from ...state.group import remove_member
from ..admin_views import MembersChange
from ..admin_views import MembersReply
from ..admin_views import MemberView
from ..decoding import decode_json
from .admin import require_operator
from .admin import write_error
from .admin import write_json
from .entries import ask_entries
from .entries import drain_entry
from .service import request_flush


if TYPE_CHECKING:
    from klein import Klein

    from ..settings import OperatorKey
    from .admin import Request
    from .context import ControlContext


MAX_BODY = 65_536
"""Maximum bytes of a body that are read."""


def add_members(app: Klein, context: ControlContext) -> None:
    """Add the routes on the system's processes."""

    @app.route("/admin/v1/members", methods=["GET"])
    @require_operator(context)
    async def show_members(request: Request, operator: OperatorKey) -> bytes:
        return write_json(request, await describe_members(context))

    @app.route("/admin/v1/members", methods=["POST"])
    @require_operator(context)
    async def change_members(request: Request, operator: OperatorKey) -> bytes:
        if operator.workspace:
            return write_error(request, 403, "this key is for one workspace only")

        try:
            body = request.content.read(MAX_BODY)
            change = decode_json(body, MembersChange)
        except msgspec.DecodeError as error:
            return write_error(request, 422, f"body: {error}")

        fault = await _apply_change(context, change)
        if fault is not None:
            status, text = fault
            return write_error(request, status, text)

        return write_json(request, await describe_members(context))


async def describe_members(context: ControlContext) -> MembersReply:
    """Return the control processes and connected entries that this process sees."""
    rows = [_describe_control(context, item.node) for item in context.settings.members]
    for name, reply in (await ask_entries(context)).items():
        state = "draining" if reply.draining else "up"
        rows.append(MemberView(name, "entry", state, in_flight=reply.running))

    return MembersReply(members=tuple(rows))


def _describe_control(context: ControlContext, node: str) -> MemberView:
    membership = context.group.replica.membership
    voters = {name_of(member) for member in membership.voters}
    link = context.links.get(node)
    here = node == context.settings.node
    up = here or (link is not None and link.protocol is not None)
    address = next(
        f"{item.host}:{item.port}"
        for item in context.settings.members
        if item.node == node
    )
    role = "voter" if node in voters else "learner"
    return MemberView(node, role, "up" if up else "down", address)


async def _apply_change(
    context: ControlContext, change: MembersChange
) -> tuple[int, str] | None:
    """Apply a change; return None, or the status and text of an error."""
    if change.action == "drain":
        if await drain_entry(context, change.node):
            return None

        return 404, f"{change.node}: no such entry is connected here"

    if change.action == "remove":
        return await _remove(context, change.node)

    if change.action == "add":
        # A member joins by itself: once started with this process among the members
        # of its settings, it asks to join, and the leader adds it as a learner.
        known = {item.node for item in context.settings.members}
        if change.node in known:
            return None

        return 422, f"{change.node}: name it in the members of every control's settings"

    return 422, f"action: {change.action!r} is not add, remove or drain"


async def _remove(context: ControlContext, node: str) -> tuple[int, str] | None:
    now = context.clock()
    if not leads(context.group, now):
        return 503, "this process does not lead; ask again"

    membership = context.group.replica.membership
    ids = [
        member
        for member in membership.voters + membership.learners
        if name_of(member) == node
    ]
    if not ids:
        return None

    if membership.voters == tuple(ids):
        return 422, f"{node} is the only voter"

    done: Deferred[ProposalOutcome] = Deferred()
    remove_member(context.group, ids[0], done.callback, now)
    request_flush(context)
    outcome = await done
    return None if isinstance(outcome, Committed) else (503, f"not removed: {outcome}")
