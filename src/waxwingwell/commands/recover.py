"""``waxwingwell recover``: inspect or repair a stopped control process's data.

docs/operations/lost-disk.md says when to use it.
"""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from ..state.consensus.records import name_of
from ..state.exceptions import StateError
from ..state.recovery import describe_store
from ..state.recovery import make_only_voter
from ..state.storage import open_store
from .exits import ExitCode
from .exits import exit_with
from .output import print_table


if TYPE_CHECKING:
    from collections.abc import Callable

    from ..state.recovery import StoreSummary
    from ..state.storage_records import Store


GROUP_ID = "control"
HEADERS = ("member", "last term", "last index", "voters")


def show(folder: str, group: str = GROUP_ID) -> None:
    """Show the last log position and the voters stored by a stopped control process."""
    print_store(use_store(folder, group, describe_store))


def continue_alone(folder: str, sure: bool = False, group: str = GROUP_ID) -> None:
    """Make a stopped control process the only voter; requires ``--sure``.

    The other voters' data folders must be emptied before they are restarted.
    """
    if not sure:
        exit_with(
            ExitCode.BAD_INPUT,
            "sure: if the other voters still have their disks, two separate groups "
            "would commit and bill; read docs/operations/lost-disk.md, then use --sure",
        )

    print_store(use_store(folder, group, make_only_voter))


def use_store(
    folder: str, group: str, operation: Callable[[Store], StoreSummary]
) -> StoreSummary:
    """Run an operation on a store; exit with the error if one occurs."""
    path = Path(folder)
    if not (path / f"{group}.sqlite").exists():
        exit_with(ExitCode.BAD_INPUT, f"folder: {path} holds no group {group!r}")

    try:
        store = open_store(path, group)
    except StateError as error:
        exit_with(ExitCode.REFUSED, str(error))

    try:
        return operation(store)
    except StateError as error:
        exit_with(ExitCode.REFUSED, str(error))
    finally:
        store.close()


def print_store(summary: StoreSummary) -> None:
    """Print a store's last log position and its voters."""
    voters = tuple(name_of(voter) for voter in summary.voters)
    print_table(
        HEADERS, [(summary.member, summary.last_term, summary.last_index, voters)]
    )


COMMANDS = {"show": show, "go-on-alone": continue_alone}
