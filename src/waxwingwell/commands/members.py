"""``waxwingwell members``: control processes join and leave, entries are drained."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from ..adapters.admin_client import fetch_view
from ..adapters.admin_client import post_view
from ..adapters.admin_views import MembersChange
from ..adapters.admin_views import MembersReply
from ..adapters.admin_views import MemberView
from .changes import MAX_WAIT
from .changes import POLL
from .changes import make_change_id
from .connection import open_client
from .exits import ExitCode
from .exits import leave
from .exits import unwrap_or_leave
from .output import print_json
from .output import print_table


if TYPE_CHECKING:
    from collections.abc import Callable

    from ..adapters.admin_client import AdminClient


VOTER = "voter"
DRAINED = "drained"
MAX_PORT = 65535

Row = MemberView | None
"""What is known of the process that a change is about."""


def show(json: bool = False) -> None:
    """Show every process of the system."""
    rows = fetch_members(open_client())
    if json:
        print_json(rows)
        return

    print_table(
        ("process", "role", "state", "address", "in flight"),
        [(row.node, row.role, row.state, row.address, row.in_flight) for row in rows],
    )


def add(node: str, host: str, port: int, wait: bool = True) -> None:
    """Add a control process; it votes once it has caught up."""
    if not isinstance(port, int) or not 0 < port <= MAX_PORT:
        leave(ExitCode.BAD_INPUT, f"port: {port!r} is no port")

    change = MembersChange("add", str(node), make_change_id(), str(host), port)
    change_members(change, lambda row: row is not None and row.role == VOTER, wait)


def remove(node: str, wait: bool = True) -> None:
    """Remove a control process from the group."""
    change = MembersChange("remove", str(node), make_change_id())
    change_members(change, lambda row: row is None, wait)


def drain(node: str, wait: bool = True) -> None:
    """Let a process finish what it has and take no new work."""
    change = MembersChange("drain", str(node), make_change_id())
    change_members(change, lambda row: row is None or row.state == DRAINED, wait)


def change_members(
    change: MembersChange, is_done: Callable[[Row], bool], wait: bool
) -> None:
    """Ask for a change and wait until it is done."""
    client = open_client()
    unwrap_or_leave(post_view(client, "/members", change, MembersReply))
    print(f"accepted: {change.action} {change.node}")
    if wait:
        wait_done(client, change, is_done)


def wait_done(
    client: AdminClient, change: MembersChange, is_done: Callable[[Row], bool]
) -> None:
    """Wait until a change is done; progress on standard error."""
    deadline = client.clock() + MAX_WAIT
    shown = ""
    while True:
        rows = {row.node: row for row in fetch_members(client)}
        row = rows.get(change.node)
        if is_done(row):
            print(f"done: {change.action} {change.node}", file=sys.stderr)
            return

        text = describe_row(change.node, row)
        if text != shown:
            print(f"waiting: {text}", file=sys.stderr)
            shown = text

        if client.clock() >= deadline:
            message = f"{change.action} {change.node} is not done after {MAX_WAIT:g} s"
            leave(ExitCode.UNAVAILABLE, message)

        client.pause(POLL)


def describe_row(node: str, row: Row) -> str:
    """Return where a process stands."""
    if row is None:
        return f"{node} is not known yet"

    return f"{node} is {row.role}, {row.state}, {row.in_flight} in flight"


def fetch_members(client: AdminClient) -> tuple[MemberView, ...]:
    """Return every process."""
    return unwrap_or_leave(fetch_view(client, "/members", MembersReply)).members


MEMBERS = {"show": show, "add": add, "remove": remove, "drain": drain}
"""The group's commands by name."""
