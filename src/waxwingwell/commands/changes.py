"""Sends a change, reports its outcome and waits until it is in force."""

from __future__ import annotations

import sys
import uuid
from typing import TYPE_CHECKING

from ..adapters.admin_client import fetch_in_force
from ..adapters.admin_client import send_change
from ..messages import Conflict
from ..messages import Rejected
from .exits import ExitCode
from .exits import exit_with
from .exits import render_findings
from .exits import unwrap_or_exit


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from ..adapters.admin_client import AdminClient
    from ..messages import Accepted
    from ..messages import Change


OPERATOR = "command line"
"""Placeholder; the API replaces it with the name of the key's owner."""

POLL_SECONDS = 0.2
"""Seconds between two polls of whether a change is in force."""

MAX_WAIT_SECONDS = 60.0
"""Seconds after which waiting for a change fails."""


def make_change_id(given: str = "") -> str:
    """Return the change id given by the operator, or a new one."""
    return given or uuid.uuid4().hex


def submit_change(
    client: AdminClient,
    change: Change,
    *,
    wait: bool,
    show_conflict: Callable[[], Iterable[str]] = tuple,
) -> Accepted:
    """Send a change, wait for it and return its acceptance; otherwise exit.

    ``show_conflict`` returns lines that describe how the conflicting change differs.
    """
    hint = (
        f"it may have been accepted; to find out, send it again with "
        f"--change_id={change.change_id}"
    )
    outcome = unwrap_or_exit(send_change(client, change), hint)  # type: ignore[arg-type]
    if isinstance(outcome, Conflict):
        exit_with(
            ExitCode.CONFLICT,
            f"conflict: {outcome.subject} is at revision {outcome.revision}, "
            f"not at {change.expected_revision}",
            f"there now: {outcome.current}",
            *show_conflict(),
        )

    if isinstance(outcome, Rejected):
        exit_with(ExitCode.REFUSED, "refused:", *render_findings(outcome.findings))

    print(f"accepted: {outcome.subject} is at revision {outcome.revision}")
    if wait:
        wait_in_force(client, outcome.config_version)

    return outcome


def wait_in_force(client: AdminClient, config_version: int) -> None:
    """Wait until every entry has a configuration; report on standard error."""
    deadline = client.clock() + MAX_WAIT_SECONDS
    shown = ""
    while True:
        response = unwrap_or_exit(
            fetch_in_force(client, config_version),
            f"configuration {config_version} is accepted; "
            "whether it is in force is not known",
        )
        if response.in_force:
            print(f"in force: configuration {config_version}", file=sys.stderr)
            return

        names = ", ".join(response.waiting) or "the new leader's first lease period"
        if names != shown:
            print(f"waiting for {names}", file=sys.stderr)
            shown = names

        if client.clock() >= deadline:
            exit_with(
                ExitCode.UNAVAILABLE,
                f"configuration {config_version} is accepted, and not yet in force "
                f"after {MAX_WAIT_SECONDS:g} s",
            )

        client.pause(POLL_SECONDS)
