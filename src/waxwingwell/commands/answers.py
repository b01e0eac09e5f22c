"""``waxwingwell answers``: create, check, apply and revise a workspace's answers."""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import quote

from ..adapters.admin_client import fetch_view
from ..adapters.admin_views import AnswersView
from ..adapters.admin_views import ConfigView
from ..adapters.admin_views import HistoryView
from ..answers.differences import describe_differences
from ..answers.generation import generate_config
from ..messages import ApplyAnswers
from .answer_files import check_file
from .answer_files import create_key
from .answer_files import make_template
from .answer_files import read_file
from .answer_files import render_answers
from .answer_files import write_new
from .changes import OPERATOR
from .changes import make_change_id
from .changes import submit_change
from .connection import fetch_config
from .connection import open_client
from .exits import ExitCode
from .exits import exit_with
from .exits import unwrap_or_exit
from .output import format_time
from .output import print_json
from .output import print_table


if TYPE_CHECKING:
    from ..adapters.admin_client import AdminClient
    from ..records import WorkspaceConfig


def new(file: str, workspace: str = "my-workspace") -> None:
    """Write a file with initial answers and a new caller's key, which is shown once."""
    key, digest = create_key()
    write_new(Path(str(file)), render_answers(make_template(str(workspace), digest)))
    print(f"key of 'app', shown only now: {key}")
    print(f"next: edit {file}, then: waxwingwell answers check {file}", file=sys.stderr)


def key(name: str, role: str = "caller") -> None:
    """Create a key; show it once, with the entry for ``keys`` that has its digest."""
    if role not in ("caller", "operator"):
        exit_with(ExitCode.BAD_INPUT, f"role: {role!r} is neither caller nor operator")

    secret, digest = create_key()
    print(f"key, shown only now: {secret}")
    print("add to the answers under keys:")
    print(json.dumps({"name": str(name), "sha256": digest, "role": role}))


def check(file: str, offline: bool = False, json: bool = False) -> None:
    """Check a file's answers and show all findings at once.

    With ``--offline`` versions are not checked against the catalogue.
    """
    versions = None if offline else list_versions(fetch_config(open_client()))
    answers = check_file(Path(str(file)), versions)
    config = generate_config(answers, answers.revises + 1)
    if json:
        print_json(config)
        return

    print("the answers are valid; they mean:")
    print("\n".join(describe_differences(None, config)))


def show(workspace: str) -> None:
    """Print a workspace's current answers."""
    sys.stdout.write(render_answers(fetch_answers(open_client(), str(workspace))))


def revise(workspace: str, file: str) -> None:
    """Write a workspace's current answers to a new file, to be edited and applied.

    The file records the revision that it is based on. If another operator applies a
    revision first, ``apply`` is refused and changes nothing.
    """
    answers = fetch_answers(open_client(), str(workspace))
    write_new(Path(str(file)), render_answers(answers))
    text = f"revision {answers['revises']} of {workspace} is in {file}; edit it, then:"
    print(text, file=sys.stderr)
    print(f"waxwingwell answers diff {file}; waxwingwell answers apply {file}")


def diff(file: str, json: bool = False) -> None:
    """Show what would change for callers if a file's answers were applied."""
    view = fetch_config(open_client())
    answers = check_file(Path(str(file)), list_versions(view))
    lines = describe_differences(
        find_workspace(view, answers.workspace),
        generate_config(answers, answers.revises + 1),
    )
    if json:
        print_json(lines)
        return

    print("\n".join(lines) or "nothing changes for callers")


def apply(file: str, yes: bool = False, wait: bool = True, change_id: str = "") -> None:
    """Check a file's answers, show the difference, apply them, wait until in force.

    Asks for confirmation unless ``--yes`` is given; ``--nowait`` returns once they are
    accepted. ``--change_id`` resends a change whose response was lost.
    """
    path = Path(str(file))
    client = open_client()
    view = fetch_config(client)
    answers = check_file(path, list_versions(view))
    config = generate_config(answers, answers.revises + 1)
    current = find_workspace(view, answers.workspace)
    print("\n".join(describe_differences(current, config)) or "nothing changes")
    if not yes:
        confirm()

    change = ApplyAnswers(
        change_id=make_change_id(str(change_id)),
        operator=OPERATOR,
        expected_revision=answers.revises,
        at=time.time(),
        answers=read_file(path),
        config=config,
    )

    def show_conflict() -> tuple[str, ...]:
        now = find_workspace(fetch_config(client), answers.workspace)
        lines = describe_differences(now, config)
        if not lines:
            return ("the current answers mean the same as yours",)

        return ("from the current answers to yours:", *lines)

    submit_change(client, change, wait=wait, show_conflict=show_conflict)


def history(workspace: str, json: bool = False) -> None:
    """Show who revised a workspace's answers, and when."""
    path = f"/answers/{quote(str(workspace))}/history"
    rows = unwrap_or_exit(fetch_view(open_client(), path, tuple[HistoryView, ...]))
    if json:
        print_json(rows)
        return

    print_table(
        ("revision", "at (UTC)", "operator", "change id"),
        [
            (row.revision, format_time(row.at), row.operator, row.change_id)
            for row in rows
        ],
    )


def confirm() -> None:
    """Ask for confirmation; without a terminal, refuse."""
    if not sys.stdin.isatty():
        exit_with(ExitCode.BAD_INPUT, "nothing was changed; add --yes to apply this")

    if input("apply this? [y/N] ").strip().lower() not in ("y", "yes"):
        exit_with(ExitCode.REFUSED, "nothing was changed")


def fetch_answers(client: AdminClient, workspace: str) -> dict[str, Any]:
    """Return a workspace's answers, set to revise their current revision."""
    view = unwrap_or_exit(
        fetch_view(client, f"/answers/{quote(workspace)}", AnswersView)
    )
    answers: dict[str, Any] = json.loads(bytes(view.answers))
    return {**answers, "revises": view.revision}


def list_versions(view: ConfigView) -> frozenset[str]:
    """Return the ids of the registered versions."""
    return frozenset(spec.version for spec in view.versions)


def find_workspace(view: ConfigView, workspace: str) -> WorkspaceConfig | None:
    """Return a workspace's configuration, or None if it is new."""
    for config in view.workspaces:
        if config.workspace == workspace:
            return config

    return None


ANSWERS = {
    "new": new,
    "key": key,
    "check": check,
    "show": show,
    "revise": revise,
    "diff": diff,
    "apply": apply,
    "history": history,
}
"""The group's commands by name."""
