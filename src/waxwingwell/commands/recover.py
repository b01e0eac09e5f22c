"""``waxwingwell recover``: work on the data folder of a stopped control process.

See docs/operations/lost-disk.md for when to use it.
"""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from ..state.consensus.records import name_of
from ..state.exceptions import StateError
from ..state.recovery import describe_store
from ..state.recovery import keep_alone
from ..state.storage import open_store
from .exits import ExitCode
from .exits import leave
from .output import print_table


if TYPE_CHECKING:
    from collections.abc import Callable

    from ..state.recovery import Held
    from ..state.storage_records import Store


GROUP_ID = "control"
HEADERS = ("member", "last term", "last index", "voters")


def show(folder: str, group: str = GROUP_ID) -> None:
    """Show what the disk of a stopped control process holds."""
    print_held(work_on(folder, group, describe_store))


def go_on_alone(folder: str, sure: bool = False, group: str = GROUP_ID) -> None:
    """Make a stopped control process the only voter; ``--sure`` is needed.

    The other voters' data folders must be emptied before they start again.
    """
    if not sure:
        leave(
            ExitCode.BAD_INPUT,
            "sure: two groups would bill and promise apart if the other voters still "
            "have their disks; read docs/operations/lost-disk.md, then pass --sure",
        )

    print_held(work_on(folder, group, keep_alone))


def work_on(folder: str, group: str, work: Callable[[Store], Held]) -> Held:
    """Open a store for one piece of work; leave with its error if it fails."""
    path = Path(folder)
    if not (path / f"{group}.sqlite").exists():
        leave(ExitCode.BAD_INPUT, f"folder: {path} holds no group {group!r}")

    try:
        store = open_store(path, group)
    except StateError as error:
        leave(ExitCode.REFUSED, str(error))

    try:
        return work(store)
    except StateError as error:
        leave(ExitCode.REFUSED, str(error))
    finally:
        store.close()


def print_held(held: Held) -> None:
    """Print what a disk holds."""
    voters = tuple(name_of(voter) for voter in held.voters)
    print_table(HEADERS, [(held.member, held.last_term, held.last_index, voters)])


COMMANDS = {"show": show, "go-on-alone": go_on_alone}
