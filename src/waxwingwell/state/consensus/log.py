"""The in-memory log: the entries after the last compaction."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from .records import Entry


@dataclass(slots=True)
class Log:
    """Log entries after ``base_index``; ``entries[0]`` has ``base_index`` + 1."""

    base_index: int = 0
    base_term: int = 0
    entries: list[Entry] = field(default_factory=list)


def last_index(log: Log) -> int:
    """Return the index of the last entry, or ``base_index`` if there is none."""
    return log.base_index + len(log.entries)


def last_term(log: Log) -> int:
    """Return the term of the last entry, or ``base_term`` if there is none."""
    return log.entries[-1].term if log.entries else log.base_term


def term_at(log: Log, index: int) -> int | None:
    """Return the term of an entry, or None if the log doesn't hold it."""
    if index == log.base_index:
        return log.base_term

    if index < log.base_index or index > last_index(log):
        return None

    return log.entries[index - log.base_index - 1].term


def entry_at(log: Log, index: int) -> Entry:
    """Return the entry at ``index``, which must be in the log."""
    return log.entries[index - log.base_index - 1]


def read_batch(
    log: Log, first: int, *, max_entries: int, max_bytes: int
) -> tuple[Entry, ...]:
    """Return entries from ``first`` on within the bounds, but at least one if any."""
    start = first - log.base_index - 1
    stop = min(len(log.entries), start + max_entries)
    size = 0
    for position in range(start, stop):
        size += len(log.entries[position].data)
        if size > max_bytes and position > start:
            stop = position
            break

    return tuple(log.entries[start:stop])


def truncate_log(log: Log, first: int) -> None:
    """Remove the entries from ``first`` on."""
    del log.entries[first - log.base_index - 1 :]


def compact_log(log: Log, index: int, term: int) -> None:
    """Remove the entries up to ``index``, which a snapshot covers."""
    if index >= last_index(log):
        log.entries.clear()
    else:
        del log.entries[: index - log.base_index]

    log.base_index = index
    log.base_term = term


def first_index_of_term(log: Log, index: int) -> int:
    """Return the first logged index of the run of one term ending at ``index``."""
    term = term_at(log, index)
    while index - 1 > log.base_index and term_at(log, index - 1) == term:
        index -= 1

    return index


def last_index_of_term(log: Log, term: int, *, before: int) -> int | None:
    """Return the last index below ``before`` of ``term``, or None."""
    index = min(before - 1, last_index(log))
    while index >= log.base_index:
        found = term_at(log, index)
        if found == term:
            return index

        if found is None or found < term:
            return None

        index -= 1

    return None
