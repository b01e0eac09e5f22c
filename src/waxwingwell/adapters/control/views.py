"""The administration API's views, read from this process's replica."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ...records import WorkspaceId
from ...state.bills import list_bills
from ...state.catalogue import workspace_subject
from ...state.machine import make_snapshot
from ..admin_views import AnswersView
from ..admin_views import AuditView
from ..admin_views import ConfigView
from ..admin_views import HistoryView
from ..admin_views import SessionView
from .admin import may_see
from .admin import require_operator
from .admin import write_error
from .admin import write_json
from .entries import gather_upstreams
from .status import describe_status


if TYPE_CHECKING:
    from klein import Klein

    from ..settings import OperatorKey
    from .admin import Request
    from .context import ControlContext


MAX_SESSIONS = 10_000
"""Maximum sessions in one view."""


def add_views(app: Klein, context: ControlContext) -> None:
    """Add the read-only routes."""
    _add_workspace_views(app, context)
    _add_fleet_views(app, context)


def _add_workspace_views(app: Klein, context: ControlContext) -> None:
    @app.route("/admin/v1/answers/<workspace>", methods=["GET"])
    @require_operator(context)
    async def show_answers(
        request: Request, operator: OperatorKey, workspace: str
    ) -> bytes:
        config = context.holder.state.config
        answers = config.answers.get(WorkspaceId(workspace))
        if answers is None or not may_see(operator, workspace):
            return write_error(request, 404, f"workspace {workspace!r} is not known")

        revision = config.revisions.get(workspace_subject(workspace), 0)
        view = AnswersView(revision=revision, answers=msgspec.Raw(answers))
        return write_json(request, view)

    @app.route("/admin/v1/answers/<workspace>/history", methods=["GET"])
    @require_operator(context)
    async def show_history(
        request: Request, operator: OperatorKey, workspace: str
    ) -> bytes:
        past = context.holder.state.audit.answers.get(WorkspaceId(workspace))
        if past is None or not may_see(operator, workspace):
            return write_error(request, 404, f"workspace {workspace!r} is not known")

        rows = [
            HistoryView(
                revision=item.revision,
                operator=item.operator,
                at=item.at,
                change_id=item.change_id,
            )
            for item in past
        ]
        return write_json(request, rows)

    @app.route("/admin/v1/bills", methods=["GET"])
    @require_operator(context)
    async def show_bills(request: Request, operator: OperatorKey) -> bytes:
        bills = list_bills(context.holder.state.ledger.bills)
        visible_bills = [bill for bill in bills if may_see(operator, bill.workspace)]
        return write_json(request, visible_bills)

    @app.route("/admin/v1/sessions", methods=["GET"])
    @require_operator(context)
    async def show_sessions(request: Request, operator: OperatorKey) -> bytes:
        wanted = (request.args.get(b"workspace") or [b""])[0].decode(errors="replace")
        rows = []
        for (workspace, session), pin in context.holder.state.pins.pins.items():
            if wanted not in ("", workspace) or not may_see(operator, workspace):
                continue

            rows.append(SessionView(workspace, session, pin.version, pin.used_at))
            if len(rows) == MAX_SESSIONS:
                break

        return write_json(request, rows)


def _add_fleet_views(app: Klein, context: ControlContext) -> None:
    @app.route("/admin/v1/config", methods=["GET"])
    @require_operator(context)
    async def show_config(request: Request, operator: OperatorKey) -> bytes:
        snapshot = make_snapshot(context.holder.state)
        view = ConfigView(
            config_version=snapshot.config_version,
            workspaces=tuple(
                item
                for item in snapshot.workspaces
                if may_see(operator, item.workspace)
            ),
            versions=snapshot.versions,
            rollouts=snapshot.rollouts,
        )
        return write_json(request, view)

    @app.route("/admin/v1/revisions", methods=["GET"])
    @require_operator(context)
    async def show_revisions(request: Request, operator: OperatorKey) -> bytes:
        return write_json(request, context.holder.state.config.revisions)

    @app.route("/admin/v1/status", methods=["GET"])
    @require_operator(context)
    async def show_status(request: Request, operator: OperatorKey) -> bytes:
        return write_json(request, describe_status(context))

    @app.route("/admin/v1/upstreams", methods=["GET"])
    @require_operator(context)
    async def show_upstreams(request: Request, operator: OperatorKey) -> bytes:
        return write_json(request, await gather_upstreams(context))

    @app.route("/admin/v1/audit", methods=["GET"])
    @require_operator(context)
    async def show_audit(request: Request, operator: OperatorKey) -> bytes:
        rows = [
            AuditView(
                at=row.at,
                operator=row.operator,
                subject=row.subject or row.kind,
                outcome=row.outcome,
                change_id=row.change_id,
                revision=row.revision,
            )
            for row in context.holder.state.audit.rows
            if _may_see_subject(operator, row.subject)
        ]
        return write_json(request, rows)


def _may_see_subject(operator: OperatorKey, subject: str) -> bool:
    return not operator.workspace or subject == workspace_subject(operator.workspace)
