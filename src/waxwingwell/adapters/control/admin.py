"""The administration API: authenticated, on a listener of its own."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING
from typing import Any

import msgspec
from klein import Klein
from returns.result import Failure
from twisted.internet.defer import Deferred
from twisted.web.server import Site

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
from ...records import WorkspaceId
from ...state.bills import list_bills
from ...state.catalogue import name_workspace
from ...state.group import leader_of
from ...state.machine import make_snapshot
from ..exceptions import LinkError
from ..links import call_link
from .answers import AnswersReply
from .answers import StatusReply
from .answers import describe_status
from .service import ask_in_force
from .service import submit


if TYPE_CHECKING:
    from collections.abc import Callable

    from ..settings import OperatorKey
    from .context import ControlContext


Request = Any
"""A request of twisted.web, whose methods carry no types."""

BEARER = "Bearer "
FORWARD_TIMEOUT = 3.0
"""Seconds within which the leader answers a forwarded command."""
RETRY_AFTER = b"1"
MAX_BODY = 4_000_000
"""Bytes of a command."""


class AdminError(msgspec.Struct, frozen=True):
    """Error answer of the administration API."""

    error: str
    findings: tuple[Finding, ...] = ()


def make_admin_site(context: ControlContext) -> Site:
    """Return the site that serves the administration API."""
    app = Klein()
    _add_commands(app, context)
    _add_views(app, context)
    site = Site(app.resource(), timeout=60)
    site.noisy = False
    site.displayTracebacks = False
    return site


def find_operator(context: ControlContext, request: Request) -> OperatorKey | None:
    """Return the operator whose key the request carries, compared in equal time."""
    header = request.getHeader("authorization") or ""
    digest = hashlib.sha256(header.removeprefix(BEARER).strip().encode()).hexdigest()
    for operator in context.settings.operators:
        if hmac.compare_digest(operator.digest, digest):
            return operator

    return None


def write_json(request: Request, body: Any, *, status: int = 200) -> bytes:
    """Set an answer's status and type and return its JSON body."""
    request.setResponseCode(status)
    request.setHeader("content-type", "application/json")
    if status == 503:
        request.setHeader("retry-after", RETRY_AFTER)

    return msgspec.json.encode(body)


async def submit_anywhere(context: ControlContext, command: Command) -> Message:
    """Put a command through the log, through the leader if it is another process."""
    outcome: Message = await submit(context, command)
    if not isinstance(outcome, NotLeader):
        return outcome

    return await _ask(context, Submit(command=command))


async def ask_anywhere(context: ControlContext, config_version: int) -> Message:
    """Ask here or at the leader whether a configuration is in force."""
    answer = ask_in_force(context, config_version)
    if not isinstance(answer, NotLeader):
        return answer

    return await _ask(context, AskInForce(config_version=config_version))


async def _ask(context: ControlContext, body: Message) -> Message:
    link = context.links.get(leader_of(context.group))
    if link is None:
        return NotLeader()

    try:
        answer: Message = await call_link(link, body, timeout=FORWARD_TIMEOUT)
    except LinkError as error:
        return Failed(reason=str(error), may_have_run=True)

    return answer


def _add_commands(app: Klein, context: ControlContext) -> None:
    @app.route("/admin/v1/commands", methods=["POST"])
    @guard(context)
    async def run_command(request: Request, operator: OperatorKey) -> bytes:
        try:
            body = request.content.read(MAX_BODY + 1)
            command = msgspec.json.decode(body, type=Command)
        except msgspec.DecodeError as error:
            findings = (Finding(place="body", message=str(error)),)
            return write_json(request, Rejected(findings=findings), status=422)

        fault = _check_operator(operator, command)
        if fault is not None:
            return write_json(request, fault, status=403)

        if isinstance(command, ApplyAnswers):
            generated = generate_change(context, command)
            if isinstance(generated, Rejected):
                return write_json(request, generated, status=422)

            command = generated

        if isinstance(command, Change):
            command = msgspec.structs.replace(command, operator=operator.name)

        outcome = await submit_anywhere(context, command)
        return write_json(request, outcome, status=_get_status(outcome))

    @app.route("/admin/v1/in-force", methods=["GET"])
    @guard(context)
    async def tell_in_force(request: Request, operator: OperatorKey) -> bytes:
        value = (request.args.get(b"config_version") or [b""])[0]
        if not value.isdigit():
            return write_json(
                request, AdminError("config_version: a number is needed"), status=400
            )

        answer = await ask_anywhere(context, int(value))
        status = 200 if isinstance(answer, InForce) else 503
        return write_json(request, answer, status=status)


def _add_views(app: Klein, context: ControlContext) -> None:
    @app.route("/admin/v1/config", methods=["GET"])
    @guard(context)
    async def show_config(request: Request, operator: OperatorKey) -> bytes:
        return write_json(request, make_snapshot(context.holder.state))

    @app.route("/admin/v1/revisions", methods=["GET"])
    @guard(context)
    async def show_revisions(request: Request, operator: OperatorKey) -> bytes:
        return write_json(request, context.holder.state.config.revisions)

    @app.route("/admin/v1/answers/<workspace>", methods=["GET"])
    @guard(context)
    async def show_answers(
        request: Request, operator: OperatorKey, workspace: str
    ) -> bytes:
        config = context.holder.state.config
        answers = config.answers.get(WorkspaceId(workspace))
        if answers is None or operator.workspace not in ("", workspace):
            return write_json(request, AdminError("unknown workspace"), status=404)

        reply = AnswersReply(
            revision=config.revisions.get(name_workspace(workspace), 0),
            answers=msgspec.Raw(answers),
        )
        return write_json(request, reply)

    @app.route("/admin/v1/bills", methods=["GET"])
    @guard(context)
    async def show_bills(request: Request, operator: OperatorKey) -> bytes:
        bills = list_bills(context.holder.state.ledger.bills)
        mine = [
            bill for bill in bills if operator.workspace in ("", str(bill.workspace))
        ]
        return write_json(request, mine)

    @app.route("/admin/v1/status", methods=["GET"])
    @guard(context)
    async def show_status(request: Request, operator: OperatorKey) -> bytes:
        status: StatusReply = describe_status(context)
        return write_json(request, status)


def generate_change(
    context: ControlContext, change: ApplyAnswers
) -> ApplyAnswers | Rejected:
    """Generate the configuration from the answers, whatever the sender filled in.

    So the answers and the configuration can't come apart, and revising the answers
    is the only way to change a workspace.
    """
    known = context.holder.state.config.versions
    checked = check_answers(change.answers, versions=frozenset(known))
    if isinstance(checked, Failure):
        return Rejected(findings=checked.failure())

    config = generate_config(checked.unwrap(), change.expected_revision + 1)
    return msgspec.structs.replace(change, config=config)


def guard(context: ControlContext) -> Callable[[Any], Any]:
    """Return a decorator that lets a route run for known operators only."""

    def decorate(handler: Any) -> Any:
        def run(request: Request, **names: str) -> Any:
            operator = find_operator(context, request)
            if operator is None:
                request.setHeader("www-authenticate", "Bearer")
                return write_json(request, AdminError("unknown key"), status=401)

            return Deferred.fromCoroutine(handler(request, operator, **names))

        run.__name__ = handler.__name__
        return run

    return decorate


def _check_operator(operator: OperatorKey, command: Any) -> AdminError | None:
    """Refuse commands beyond an operator's workspace, and those not for people."""
    if not isinstance(command, Change):
        return AdminError(f"{type(command).__name__} is not an operator's command")

    if not operator.workspace:
        return None

    config = getattr(command, "config", None)
    if config is not None and config.workspace == operator.workspace:
        return None

    return AdminError(f"this key is for workspace {operator.workspace!r} only")


def _get_status(outcome: Message) -> int:
    if isinstance(outcome, Accepted):
        return 200

    if isinstance(outcome, Conflict):
        return 409

    if isinstance(outcome, Rejected):
        return 422

    return 503
