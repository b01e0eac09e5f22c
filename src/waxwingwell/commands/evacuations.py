"""``waxwingwell evacuation``: show, order and withdraw evacuations of data centres."""

from __future__ import annotations

from urllib.parse import quote

from ..adapters.admin_client import fetch_view
from ..adapters.admin_client import send_order
from ..adapters.admin_paths import EVACUATIONS
from ..adapters.admin_views import EvacuationsView
from .connection import open_registry_client
from .exits import ExitCode
from .exits import exit_with
from .exits import unwrap_or_exit
from .output import print_json
from .output import print_table


def show(json: bool = False) -> None:
    """Show the evacuated data centres."""
    found = fetch_view(open_registry_client(), EVACUATIONS, EvacuationsView)
    names = unwrap_or_exit(found).data_centres
    if json:
        print_json(names)
        return

    print_table(("evacuated",), [(name,) for name in names])


def order(data_centre: str) -> None:
    """Send nothing more to the upstreams of a data centre."""
    send("POST", str(data_centre))
    print(f"accepted: {data_centre} is evacuated")


def withdraw(data_centre: str) -> None:
    """Withdraw the evacuation of a data centre; its upstreams may be cold."""
    send("DELETE", str(data_centre))
    print(f"accepted: the evacuation of {data_centre} is withdrawn")


def send(method: str, data_centre: str) -> None:
    """Send an order, again until a registry confirms or refuses it."""
    if not data_centre:
        exit_with(ExitCode.BAD_INPUT, "data_centre: the name is empty")

    path = f"{EVACUATIONS}/{quote(data_centre, safe='')}"
    unwrap_or_exit(send_order(open_registry_client(), method, path))


EVACUATION = {"show": show, "order": order, "withdraw": withdraw}
"""The group's commands by name."""
