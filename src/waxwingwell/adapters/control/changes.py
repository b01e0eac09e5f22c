"""Operators' changes: checked, generated from answers, committed to the log."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec
from returns.result import Failure

from ...answers.findings import check_answers
from ...answers.generation import generate_config
from ...messages import Accepted
from ...messages import ApplyAnswers
from ...messages import AskInForce
from ...messages import Change
from ...messages import Command
from ...messages import Conflict
from ...messages import Failed
from ...messages import InForce
from ...messages import Message
from ...messages import NotLeader
from ...messages import Rejected
from ...messages import Submit
from ...records import Finding
from ...state.group import leader_of
from ..decoding import decode_json
from ..exceptions import LinkError
from ..links import call_link
from .admin import require_operator
from .admin import write_error
from .admin import write_json
from .service import ask_in_force
from .service import submit


if TYPE_CHECKING:
    from klein import Klein

    from ..settings import OperatorKey
    from .admin import Request
    from .context import ControlContext


FORWARD_TIMEOUT = 3.0
"""Seconds within which the leader must reply to a forwarded command."""
MAX_BODY = 4_000_000
"""Maximum bytes of a command."""
CHANGE_TYPES = Change
HTTP_STATUSES: dict[type[Message], int] = {Accepted: 200, Conflict: 409, Rejected: 422}


def add_changes(app: Klein, context: ControlContext) -> None:
    """Add the routes that run commands and report whether changes are in force."""

    @app.route("/admin/v1/commands", methods=["POST"])
    @require_operator(context)
    async def run_command(request: Request, operator: OperatorKey) -> bytes:
        body = request.content.read(MAX_BODY + 1)
        try:
            command = decode_json(body, Command)
        except msgspec.DecodeError as error:
            findings = (Finding(place="body", message=str(error)),)
            return write_json(request, Rejected(findings=findings), status=422)

        if not isinstance(command, Change):
            name = type(command).__name__
            return write_error(request, 403, f"{name} is not an operator's command")

        if not _is_allowed(operator, command):
            text = f"this key is for workspace {operator.workspace!r} only"
            return write_error(request, 403, text)

        outcome = await _run_change(context, operator, command)
        return write_json(
            request, outcome, status=HTTP_STATUSES.get(type(outcome), 503)
        )

    @app.route("/admin/v1/in-force", methods=["GET"])
    @require_operator(context)
    async def show_in_force(request: Request, operator: OperatorKey) -> bytes:
        value = (request.args.get(b"config_version") or [b""])[0]
        if not value.isdigit():
            return write_error(request, 400, "config_version: a number is needed")

        reply = await query_in_force(context, int(value))
        status = 200 if isinstance(reply, InForce) else 503
        return write_json(request, reply, status=status)


async def submit_or_forward(context: ControlContext, command: Command) -> Message:
    """Commit a command to the log, by way of the leader if it is another process."""
    outcome: Message = await submit(context, command)
    if not isinstance(outcome, NotLeader):
        return outcome

    return await _call_leader(context, Submit(command=command))


async def query_in_force(context: ControlContext, config_version: int) -> Message:
    """Return whether a configuration is in force, as the leader sees it."""
    reply = ask_in_force(context, config_version)
    if not isinstance(reply, NotLeader):
        return reply

    return await _call_leader(context, AskInForce(config_version=config_version))


def generate_change(
    context: ControlContext, change: ApplyAnswers
) -> ApplyAnswers | Rejected:
    """Generate the configuration from the answers, replacing the sender's own.

    This keeps the configuration consistent with the answers: a workspace can be
    changed only by revising its answers.
    """
    known = context.holder.state.config.versions
    checked = check_answers(change.answers, versions=frozenset(known))
    if isinstance(checked, Failure):
        return Rejected(findings=checked.failure())

    config = generate_config(checked.unwrap(), change.expected_revision + 1)
    if change.config.workspace not in ("", config.workspace):
        text = f"{config.workspace!r} in the answers, {change.config.workspace!r} sent"
        return Rejected(findings=(Finding(place="workspace", message=text),))

    return msgspec.structs.replace(change, config=config)


async def _run_change(
    context: ControlContext, operator: OperatorKey, change: Any
) -> Message:
    # The key identifies the operator, whatever the body claims.
    change = msgspec.structs.replace(change, operator=operator.name)
    if isinstance(change, ApplyAnswers):
        generated = generate_change(context, change)
        if isinstance(generated, Rejected):
            return generated

        change = generated

    return await submit_or_forward(context, change)


async def _call_leader(context: ControlContext, body: Message) -> Message:
    link = context.links.get(leader_of(context.group))
    if link is None:
        return NotLeader()

    try:
        reply: Message = await call_link(link, body, timeout=FORWARD_TIMEOUT)
    except LinkError as error:
        return Failed(reason=str(error), may_have_run=True)

    return reply


def _is_allowed(operator: OperatorKey, change: Change) -> bool:
    """Return whether an operator's key allows a change.

    Fleet-wide changes need a key that isn't limited to a workspace. The workspace
    that the configuration names is compared with that of the answers when it is
    generated, so a limited key can't change another workspace.
    """
    if not operator.workspace:
        return True

    if not isinstance(change, ApplyAnswers):
        return False

    return change.config.workspace == operator.workspace
