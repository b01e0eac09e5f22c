"""Sends a change, tells its outcome, and waits until it is in force."""

from __future__ import annotations

import sys
import uuid
from typing import TYPE_CHECKING

from ..adapters.admin_client import ask_in_force
from ..adapters.admin_client import send_change
from ..messages import Conflict
from ..messages import Rejected
from .exits import ExitCode
from .exits import leave
from .exits import render_findings
from .exits import unwrap_or_leave


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from ..adapters.admin_client import AdminClient
    from ..messages import Accepted
    from ..messages import Change


OPERATOR = "command line"
"""Placeholder; the API puts the name of the key's holder in its place."""

POLL = 0.2
"""Seconds between two questions whether a change is in force."""

MAX_WAIT = 60.0
"""Seconds after which a wait ends without success."""


def make_change_id(given: str = "") -> str:
    """Return the change id that an operator gave, or a new one."""
    return given or uuid.uuid4().hex


def make_change(
    client: AdminClient,
    change: Change,
    *,
    wait: bool,
    show_conflict: Callable[[], Iterable[str]] = tuple,
) -> Accepted:
    """Send a change and wait for it; every other end leaves the command.

    ``show_conflict`` gives lines about what the other change made different.
    """
    hint = (
        f"it may have been accepted; to learn it, send it again with "
        f"--change_id={change.change_id}"
    )
    outcome = unwrap_or_leave(send_change(client, change), hint)  # type: ignore[arg-type]
    if isinstance(outcome, Conflict):
        leave(
            ExitCode.CONFLICT,
            f"conflict: {outcome.subject} is at revision {outcome.revision}, "
            f"not at {change.expected_revision}",
            f"there now: {outcome.current}",
            *show_conflict(),
        )

    if isinstance(outcome, Rejected):
        leave(ExitCode.REFUSED, "refused:", *render_findings(outcome.findings))

    print(f"accepted: {outcome.subject} is at revision {outcome.revision}")
    if wait:
        wait_in_force(client, outcome.config_version)

    return outcome


def wait_in_force(client: AdminClient, config_version: int) -> None:
    """Wait until every entry has a configuration; progress on standard error."""
    deadline = client.clock() + MAX_WAIT
    shown = ""
    while True:
        answer = unwrap_or_leave(
            ask_in_force(client, config_version),
            f"configuration {config_version} is accepted; "
            "whether it is in force is not known",
        )
        if answer.in_force:
            print(f"in force: configuration {config_version}", file=sys.stderr)
            return

        names = ", ".join(answer.waiting) or "the new leader's first lease time"
        if names != shown:
            print(f"waiting for {names}", file=sys.stderr)
            shown = names

        if client.clock() >= deadline:
            leave(
                ExitCode.UNAVAILABLE,
                f"configuration {config_version} is accepted, and not yet in force "
                f"after {MAX_WAIT:g} s",
            )

        client.pause(POLL)
