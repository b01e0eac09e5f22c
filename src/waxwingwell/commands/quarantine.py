"""``waxwingwell quarantine``: show and end quarantines of prompt blocks."""

from __future__ import annotations

from ..adapters.admin_client import fetch_view
from ..adapters.admin_client import send_order
from ..adapters.admin_paths import QUARANTINE
from ..adapters.admin_views import QuarantineView
from .connection import open_registry_client
from .exits import unwrap_or_exit
from .output import print_json
from .output import print_table


def show(json: bool = False) -> None:
    """Show the quarantined prompt blocks, by their hashes, and their crashes."""
    found = fetch_view(open_registry_client(), QUARANTINE, QuarantineView)
    blocks = unwrap_or_exit(found).blocks
    if json:
        print_json(blocks)
        return

    print_table(("block", "crashes"), [(one.block, one.crashes) for one in blocks])


def release() -> None:
    """End all quarantines, as after a new version of the upstreams."""
    unwrap_or_exit(send_order(open_registry_client(), "DELETE", QUARANTINE))
    print("accepted: all prompt blocks are released")


QUARANTINE_COMMANDS = {"show": show, "release": release}
"""The group's commands by name."""
