"""Tables and JSON on standard output."""

from __future__ import annotations

from datetime import UTC
from datetime import datetime
from typing import TYPE_CHECKING

import msgspec
from tabulate import tabulate


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence


MICRO = 1_000_000


def print_json(body: object) -> None:
    """Print a value as JSON, indented."""
    print(msgspec.json.format(msgspec.json.encode(body), indent=2).decode())


def print_table(headers: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Print a table; without rows it has its headers only."""
    cells = [[show_cell(value) for value in row] for row in rows]
    print(tabulate(cells, headers=headers, disable_numparse=True))


def show_cell(value: object) -> str:
    """Return a value as a table shows it."""
    if isinstance(value, bool):
        return "yes" if value else "no"

    if isinstance(value, float):
        return f"{value:.4g}"

    if isinstance(value, tuple | list):
        return ", ".join(str(item) for item in value)

    return str(value)


def show_time(at: float) -> str:
    """Return seconds since the epoch as a date and time in UTC."""
    if at <= 0:
        return ""

    return datetime.fromtimestamp(at, UTC).strftime("%Y-%m-%d %H:%M:%S")


def show_money(micro_units: int) -> str:
    """Return micro-units as units of the currency."""
    return f"{micro_units / MICRO:.6f}"
