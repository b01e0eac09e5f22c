"""The list of tests that may fail: one entry a line, beginning with the test's id."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from pathlib import Path


ENTRY = re.compile(r"tests(\.\w+)+: .*\bissue \d+")


def read_entries(path: Path) -> list[str]:
    """Return the entries of a file; exit with the line of one that is incomplete."""
    if not path.exists():
        return []

    entries = []
    for number, line in enumerate(path.read_text().splitlines(), 1):
        if not line.strip():
            continue

        if not ENTRY.match(line):
            place = f"{path.name}, line {number}"
            raise SystemExit(f"{place}: no test's id, or no issue: {line}")

        entries.append(line)

    return entries


def is_known(name: str, entries: list[str]) -> bool:
    """Tell whether an entry is about just this test."""
    return any(entry.partition(":")[0] == name for entry in entries)
