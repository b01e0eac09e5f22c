"""``waxwingwell members``: show, add, remove and drain the system's processes."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from ..adapters.admin_client import fetch_view
from ..adapters.admin_client import post_view
from ..adapters.admin_views import MembersChange
from ..adapters.admin_views import MembersReply
from ..adapters.admin_views import MemberView
from .changes import MAX_WAIT_SECONDS
from .changes import POLL_SECONDS
from .changes import make_change_id
from .connection import open_client
from .exits import ExitCode
from .exits import exit_with
from .exits import unwrap_or_exit
from .output import print_json
from .output import print_table


if TYPE_CHECKING:
    from collections.abc import Callable

    from ..adapters.admin_client import AdminClient


VOTER = "voter"
DRAINED = "drained"
MAX_PORT = 65535

Row = MemberView | None
"""The process that a change affects, or None if it isn't listed."""


def show(json: bool = False) -> None:
    """Show all control processes and entries."""
    rows = fetch_members(open_client())
    if json:
        print_json(rows)
        return

    print_table(
        ("process", "role", "state", "address", "in flight"),
        [(row.node, row.role, row.state, row.address, row.in_flight) for row in rows],
    )


def add(node: str, host: str, port: int, wait: bool = True) -> None:
    """Add a control process, which votes once it has caught up."""
    if not isinstance(port, int) or not 0 < port <= MAX_PORT:
        exit_with(ExitCode.BAD_INPUT, f"port: {port!r} is not a port number")

    change = MembersChange("add", str(node), make_change_id(), str(host), port)
    change_members(change, lambda row: row is not None and row.role == VOTER, wait)


def remove(node: str, wait: bool = True) -> None:
    """Remove a control process from the group."""
    change = MembersChange("remove", str(node), make_change_id())
    change_members(change, lambda row: row is None, wait)


def drain(node: str, wait: bool = True) -> None:
    """Let a process finish its requests and accept no new ones."""
    change = MembersChange("drain", str(node), make_change_id())
    change_members(change, lambda row: row is None or row.state == DRAINED, wait)


def change_members(
    change: MembersChange, is_done: Callable[[Row], bool], wait: bool
) -> None:
    """Send a change and wait until it is done."""
    client = open_client()
    unwrap_or_exit(post_view(client, "/members", change, MembersReply))
    print(f"accepted: {change.action} {change.node}")
    if wait:
        wait_done(client, change, is_done)


def wait_done(
    client: AdminClient, change: MembersChange, is_done: Callable[[Row], bool]
) -> None:
    """Wait until a change is done; report progress on standard error."""
    deadline = client.clock() + MAX_WAIT_SECONDS
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
            message = (
                f"{change.action} {change.node} is not done "
                f"after {MAX_WAIT_SECONDS:g} s"
            )
            exit_with(ExitCode.UNAVAILABLE, message)

        client.pause(POLL_SECONDS)


def describe_row(node: str, row: Row) -> str:
    """Return a process's role, state and load as text."""
    if row is None:
        return f"{node} is not known yet"

    return f"{node} is {row.role}, {row.state}, {row.in_flight} in flight"


def fetch_members(client: AdminClient) -> tuple[MemberView, ...]:
    """Return all processes."""
    return unwrap_or_exit(fetch_view(client, "/members", MembersReply)).members


MEMBERS = {"show": show, "add": add, "remove": remove, "drain": drain}
"""The group's commands by name."""
