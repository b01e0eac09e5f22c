"""Commands that show status, upstreams, versions, sessions, bills and the audit."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar
from urllib.parse import quote

from ..adapters.admin_client import fetch_view
from ..adapters.admin_views import AuditView
from ..adapters.admin_views import ConfigView
from ..adapters.admin_views import SessionView
from ..adapters.admin_views import UpstreamView
from ..adapters.control.status import StatusReply
from ..state.bills import Bill
from .connection import open_client
from .exits import unwrap_or_exit
from .output import format_money
from .output import format_time
from .output import print_json
from .output import print_table


if TYPE_CHECKING:
    from collections.abc import Iterable


ViewT = TypeVar("ViewT")


def fetch(path: str, kind: type[ViewT]) -> ViewT:
    """Return a view of the administration API; a problem ends the command."""
    return unwrap_or_exit(fetch_view(open_client(), path, kind))


def status(json: bool = False) -> None:
    """Show the control group's state and every entry's configuration and lease."""
    view = fetch("/status", StatusReply)
    if json:
        print_json(view)
        return

    print(f"leader {view.leader or 'unknown'}, term {view.term}, seen by {view.node}")
    print(f"configuration {view.config_version}, {view.open_rows} open requests")
    for line in list_alarms(view):
        print(line)

    print()
    print_table(
        ("control process", "connected"),
        [(member.node, member.up) for member in view.members],
    )
    print()
    print_table(
        ("entry", "configuration", "lease left (s)"),
        [(row.entry, row.config_version, row.lease_left) for row in view.entries],
    )


def list_alarms(view: StatusReply) -> Iterable[str]:
    """Yield the problems that need an operator's attention."""
    if view.halted:
        yield f"HALTED: {view.halted}"

    for name, count in sorted(view.breaches.items()):
        yield f"BROKEN INVARIANT: {name}, {count} times"

    if not view.leader:
        yield "NO LEADER: changes and new reservations wait for a majority"

    for row in view.entries:
        if row.lease_left <= 0:
            yield f"ENTRY WITHOUT LEASE: {row.entry} admits no new work"


def upstreams(json: bool = False) -> None:
    """Show all upstreams that have announced themselves."""
    rows = fetch("/upstreams", tuple[UpstreamView, ...])
    if json:
        print_json(rows)
        return

    print_table(
        ("upstream", "serves", "data centre", "address", "load", "state", "lease (s)"),
        [
            (
                row.upstream,
                row.service or row.versions,
                row.data_centre,
                row.address,
                f"{row.running}+{row.queued}/{row.capacity}",
                describe_upstream(row),
                row.lease_left,
            )
            for row in rows
        ],
    )


def describe_upstream(row: UpstreamView) -> str:
    """Return an upstream's state; only ``serving`` ones receive new requests."""
    if row.leaving:
        return "leaving"

    if row.lease_left <= 0:
        return "lost"

    return "ejected" if row.ejected else "serving"


def versions(json: bool = False) -> None:
    """Show all registered versions with status, prices and allowed workspaces."""
    view = fetch("/config", ConfigView)
    if json:
        print_json(view.versions)
        return

    allowed: dict[str, list[str]] = {}
    for config in view.workspaces:
        for version in config.allowed:
            allowed.setdefault(version, []).append(config.workspace)

    print_table(
        ("version", "status", "price in", "price out", "prior", "allowed in"),
        [
            (
                spec.version,
                spec.status,
                spec.price_in,
                spec.price_out,
                spec.quality_prior,
                allowed.get(spec.version, []),
            )
            for spec in view.versions
        ],
    )


def sessions(workspace: str = "", json: bool = False) -> None:
    """Show sessions and the version that each is pinned to."""
    path = f"/sessions?workspace={quote(str(workspace))}"
    rows = fetch(path, tuple[SessionView, ...])
    if json:
        print_json(rows)
        return

    print_table(
        ("workspace", "session", "version", "since (UTC)"),
        [
            (row.workspace, row.session, row.version, format_time(row.at))
            for row in rows
        ],
    )


def bills(workspace: str = "", json: bool = False) -> None:
    """Show the cost of each workspace by version."""
    rows = [
        row
        for row in fetch("/bills", tuple[Bill, ...])
        if str(workspace) in ("", row.workspace)
    ]
    if json:
        print_json(rows)
        return

    print_table(
        (
            "workspace",
            "version",
            "requests",
            "completed",
            "failed",
            "may have run",
            "tokens in",
            "tokens out",
            "cost",
        ),
        [
            (
                row.workspace,
                row.version or "(services)",
                row.requests,
                row.completed,
                row.failed,
                row.unknown,
                row.prompt_tokens,
                row.answer_tokens,
                format_money(row.cost),
            )
            for row in rows
        ],
    )


def audit(json: bool = False) -> None:
    """Show operators' changes and their outcomes."""
    rows = fetch("/audit", tuple[AuditView, ...])
    if json:
        print_json(rows)
        return

    print_table(
        ("at (UTC)", "operator", "subject", "outcome", "revision", "change id"),
        [
            (
                format_time(row.at),
                row.operator,
                row.subject,
                row.outcome,
                row.revision or "",
                row.change_id,
            )
            for row in rows
        ],
    )
