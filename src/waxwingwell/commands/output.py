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


MICRO_UNITS = 1_000_000
"""Micro-units of a unit of currency."""


def print_json(body: object) -> None:
    """Print a value as JSON, indented."""
    print(msgspec.json.format(msgspec.json.encode(body), indent=2).decode())


def print_table(headers: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Print a table; without rows it consists of its headers."""
    cells = [[format_cell(value) for value in row] for row in rows]
    print(tabulate(cells, headers=headers, disable_numparse=True))


def format_cell(value: object) -> str:
    """Return a value as text for a table cell."""
    if isinstance(value, bool):
        return "yes" if value else "no"

    if isinstance(value, float):
        return f"{value:.4g}"

    if isinstance(value, tuple | list):
        return ", ".join(str(item) for item in value)

    return str(value)


def format_time(at: float) -> str:
    """Return seconds since the epoch as date and time in UTC, empty if not above 0."""
    if at <= 0:
        return ""

    return datetime.fromtimestamp(at, UTC).strftime("%Y-%m-%d %H:%M:%S")


def format_money(micro_units: int) -> str:
    """Return micro-units of the currency as a decimal number of units."""
    return f"{micro_units / MICRO_UNITS:.6f}"
