"""``waxwingwell answers``: the questionnaire, from new answers to revisions."""

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
from .changes import make_change
from .changes import make_change_id
from .connection import fetch_config
from .connection import open_client
from .exits import ExitCode
from .exits import leave
from .exits import unwrap_or_leave
from .output import print_json
from .output import print_table
from .output import show_time


if TYPE_CHECKING:
    from ..adapters.admin_client import AdminClient
    from ..records import WorkspaceConfig


def new(file: str, workspace: str = "my-workspace") -> None:
    """Write answers to start from, with a new caller's key that is shown once."""
    key, digest = create_key()
    write_new(Path(str(file)), render_answers(make_template(str(workspace), digest)))
    print(f"key of 'app', shown only now: {key}")
    print(f"next: edit {file}, then: waxwingwell answers check {file}", file=sys.stderr)


def key(name: str, role: str = "caller") -> None:
    """Make a key; show it once, with the entry for ``keys`` that holds its digest."""
    if role not in ("caller", "operator"):
        leave(ExitCode.BAD_INPUT, f"role: {role!r} is neither caller nor operator")

    secret, digest = create_key()
    print(f"key, shown only now: {secret}")
    print("add to the answers under keys:")
    print(json.dumps({"name": str(name), "sha256": digest, "role": role}))


def check(file: str, offline: bool = False, json: bool = False) -> None:
    """Check a file's answers and show every finding at once.

    With ``--offline`` versions are not compared with the catalogue.
    """
    versions = None if offline else list_versions(fetch_config(open_client()))
    answers = check_file(Path(str(file)), versions)
    config = generate_config(answers, answers.revises + 1)
    if json:
        print_json(config)
        return

    print("the answers are good; they mean:")
    print("\n".join(describe_differences(None, config)))


def show(workspace: str) -> None:
    """Print a workspace's answers that are in force now."""
    sys.stdout.write(render_answers(fetch_answers(open_client(), str(workspace))))


def revise(workspace: str, file: str) -> None:
    """Write a workspace's present answers to a new file, to be edited and applied.

    The file names the revision it was made from. If another operator's revision
    comes first, ``apply`` is refused and changes nothing.
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

    Asks first, unless ``--yes`` is given; ``--nowait`` ends once they are accepted.
    ``--change_id`` resends a change whose answer was lost.
    """
    path = Path(str(file))
    client = open_client()
    view = fetch_config(client)
    answers = check_file(path, list_versions(view))
    config = generate_config(answers, answers.revises + 1)
    present = find_workspace(view, answers.workspace)
    print("\n".join(describe_differences(present, config)) or "nothing changes")
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
            return ("what is there now means the same as your answers",)

        return ("from what is there now to your answers:", *lines)

    make_change(client, change, wait=wait, show_conflict=show_conflict)


def history(workspace: str, json: bool = False) -> None:
    """Show who revised a workspace's answers, and when."""
    path = f"/answers/{quote(str(workspace))}/history"
    rows = unwrap_or_leave(fetch_view(open_client(), path, tuple[HistoryView, ...]))
    if json:
        print_json(rows)
        return

    print_table(
        ("revision", "at (UTC)", "operator", "change id"),
        [
            (row.revision, show_time(row.at), row.operator, row.change_id)
            for row in rows
        ],
    )


def confirm() -> None:
    """Ask whether to go on; without a terminal the answer is no."""
    if not sys.stdin.isatty():
        leave(ExitCode.BAD_INPUT, "nothing was changed; add --yes to apply this")

    if input("apply this? [y/N] ").strip().lower() not in ("y", "yes"):
        leave(ExitCode.REFUSED, "nothing was changed")


def fetch_answers(client: AdminClient, workspace: str) -> dict[str, Any]:
    """Return a workspace's answers, made to revise their present revision."""
    view = unwrap_or_leave(
        fetch_view(client, f"/answers/{quote(workspace)}", AnswersView)
    )
    answers: dict[str, Any] = json.loads(bytes(view.answers))
    return {**answers, "revises": view.revision}


def list_versions(view: ConfigView) -> frozenset[str]:
    """Return the known version ids."""
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
