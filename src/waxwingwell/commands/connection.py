"""Creates the administration API's client from environment variables.

``WAXWINGWELL_ADMIN`` holds its addresses, separated by commas (by default the embedded
role's), ``WAXWINGWELL_REGISTRY`` those of registries, ``WAXWINGWELL_KEY`` the
operator's key or ``WAXWINGWELL_KEY_FILE`` the path of a file with it,
``WAXWINGWELL_CA_FILE`` the path of the trusted certificates. A key is never an
argument, since other users of a machine can read those.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import TYPE_CHECKING

from ..adapters.admin_client import AdminClient
from ..adapters.admin_client import fetch_view
from ..adapters.admin_transport import make_transport
from ..adapters.admin_views import ConfigView
from .exits import ExitCode
from .exits import exit_with
from .exits import unwrap_or_exit


if TYPE_CHECKING:
    from collections.abc import Callable

    from ..adapters.admin_transport import AdminRequest
    from ..adapters.admin_transport import AdminResponse
    from ..adapters.admin_transport import Unreachable


DEFAULT_ADDRESS = "http://127.0.0.1:8081"
ADDRESS_VARIABLE = "WAXWINGWELL_ADMIN"
REGISTRY_VARIABLE = "WAXWINGWELL_REGISTRY"
KEY_VARIABLE = "WAXWINGWELL_KEY"
KEY_FILE_VARIABLE = "WAXWINGWELL_KEY_FILE"
CA_FILE_VARIABLE = "WAXWINGWELL_CA_FILE"


def open_client() -> AdminClient:
    """Return a client of the administration API; opens no connection yet."""
    addresses = read_addresses(ADDRESS_VARIABLE, DEFAULT_ADDRESS)
    send = open_transport()
    return AdminClient(addresses=addresses, key=read_key(), send=send)


def open_registry_client() -> AdminClient:
    """Return a client of the registries; opens no connection yet."""
    addresses = read_addresses(REGISTRY_VARIABLE, "")
    if not addresses:
        message = f"set {REGISTRY_VARIABLE} to the addresses of the registries"
        exit_with(ExitCode.BAD_INPUT, message)

    return AdminClient(addresses=addresses, key="", send=open_transport())


def read_addresses(variable: str, default: str) -> tuple[str, ...]:
    """Return the addresses in an environment variable; exit if one is invalid."""
    text = os.environ.get(variable, default)
    addresses = tuple(part.strip() for part in text.split(",") if part.strip())
    for address in addresses:
        if not address.startswith(("http://", "https://")):
            message = f"{variable}: {address!r} is not an http(s) address"
            exit_with(ExitCode.BAD_INPUT, message)

    return addresses


def open_transport() -> Callable[[AdminRequest], AdminResponse | Unreachable]:
    """Return a function that sends a request; exit if certificates are unreadable."""
    try:
        return make_transport(os.environ.get(CA_FILE_VARIABLE, ""))
    except OSError as error:
        exit_with(ExitCode.BAD_INPUT, f"{CA_FILE_VARIABLE}: {error}")


def fetch_config(client: AdminClient) -> ConfigView:
    """Return the whole configuration."""
    return unwrap_or_exit(fetch_view(client, "/config", ConfigView))


def read_key() -> str:
    """Return the operator's key from the environment or its file."""
    key = os.environ.get(KEY_VARIABLE, "").strip()
    if key:
        return check_key(KEY_VARIABLE, key)

    path = os.environ.get(KEY_FILE_VARIABLE, "")
    if not path:
        message = f"set {KEY_VARIABLE} or {KEY_FILE_VARIABLE} to an operator's key"
        exit_with(ExitCode.BAD_INPUT, message)

    try:
        key = Path(path).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        exit_with(ExitCode.BAD_INPUT, f"{KEY_FILE_VARIABLE}: {error}")

    return check_key(KEY_FILE_VARIABLE, key)


def check_key(place: str, key: str) -> str:
    """Return a key if a header can carry it; exit otherwise."""
    if not key or not key.isascii() or not key.isprintable():
        exit_with(
            ExitCode.BAD_INPUT, f"{place}: a key must be one line of printable ASCII"
        )

    return key
