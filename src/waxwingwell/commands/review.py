"""``waxwingwell review``: what became of all requests, from several processes' logs."""

from __future__ import annotations

import re
import sys
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from .exits import ExitCode
from .exits import leave
from .output import print_table


if TYPE_CHECKING:
    from collections.abc import Iterable


STANDARD_INPUT = "-"
WINDOW_SECONDS = 2.0
MOST_REASONS = 15
"""Rows of the tables of reasons."""
NAMED_LINES = 3
"""Unreadable lines that are named by their place."""
UNPLACED = "(none)"
"""Route of requests that were refused before a route was found."""
OUTCOMES = (
    "answered",
    "passed_on_failure",
    "refused",
    "may_have_run",
    "cut",
    "undelivered",
    "caller_left",
)
NUMBER = re.compile(r"\d+(\.\d+)?")


class LogLine(msgspec.Struct, frozen=True):
    """The fields of a structured line that a review reads."""

    at: float
    event: str
    request: str = ""
    route: str = UNPLACED
    outcome: str = ""
    reason: str = ""
    fate: str = ""
    attempts: int = 0
    events: int = 0
    first_ms: int | None = None
    pause_ms: int = 0


@dataclass(slots=True)
class Tally:
    """What became of some requests."""

    outcomes: Counter[str] = field(default_factory=Counter)
    firsts: list[int] = field(default_factory=list)
    """Milliseconds to the first event, of those that had one."""
    pauses: list[int] = field(default_factory=list)
    """Longest pauses between two events, in milliseconds."""
    tries: int = 0


@dataclass(slots=True)
class Review:
    """What the lines tell."""

    window: float
    routes: dict[str, Tally] = field(default_factory=dict)
    windows: dict[int, Tally] = field(default_factory=dict)
    """By number of the window since the epoch."""
    reasons: Counter[str] = field(default_factory=Counter)
    """Requests that were not answered, by route, outcome and reason."""
    attempts: Counter[str] = field(default_factory=Counter)
    """Sends that failed, by fate and reason."""
    broken_after: Counter[str] = field(default_factory=Counter)
    """Streams that were cut, by route and how many events had come."""
    larger: int = 0
    lines: int = 0
    unreadable: list[str] = field(default_factory=list)
    """Places of lines that could not be read."""
    unread: int = 0


def review(*files: str, window: float = WINDOW_SECONDS, plot: str = "") -> None:
    """Tell what became of requests by route and by time, and why.

    Args:
        files: logs of any processes; ``-`` or none: standard input.
        window: seconds that a row of the table by time covers.
        plot: file for a drawing of the outcomes by time (needs matplotlib).
    """
    if window <= 0:
        leave(ExitCode.BAD_INPUT, f"review: window: {window} is not above 0")

    found = Review(window)
    for name in files or (STANDARD_INPUT,):
        read_log(found, name)

    if not found.lines:
        leave(ExitCode.REFUSED, "no structured line in what was read")

    show_review(found)
    if plot:
        from .review_plot import plot_windows

        print(f"written: {plot_windows(found, Path(plot))}")


def read_log(found: Review, name: str) -> None:
    """Take in one log; a file that can't be opened ends the command."""
    if name == STANDARD_INPUT:
        take_lines(found, name, sys.stdin)
        return

    try:
        with Path(name).open(errors="replace") as stream:
            take_lines(found, name, stream)
    except OSError as error:
        leave(ExitCode.BAD_INPUT, f"{name}: {error.strerror}")


def take_lines(found: Review, name: str, stream: Iterable[str]) -> None:
    """Take in the structured lines of a log, whatever stands before them."""
    decode = msgspec.json.Decoder(LogLine).decode
    for number, text in enumerate(stream, 1):
        start = text.find("{")
        if start < 0 and not text.strip():
            continue

        try:
            line = decode(text[max(start, 0) :])
        except (msgspec.DecodeError, UnicodeEncodeError):
            found.unread += 1
            if len(found.unreadable) < NAMED_LINES:
                found.unreadable.append(f"{name}:{number}")

            continue

        found.lines += 1
        take_line(found, line)


def take_line(found: Review, line: LogLine) -> None:
    """Count one line."""
    if line.event == "gateway: Request ended":
        take_end(found, line)
    elif line.event == "gateway: Attempt ended":
        found.attempts[f"{line.fate} {generalise(line.reason)}"] += 1
    elif line.event == "gateway: Larger model":
        found.larger += 1


def take_end(found: Review, line: LogLine) -> None:
    """Count a request."""
    number = int(line.at // found.window)
    for tally in (
        found.routes.setdefault(line.route, Tally()),
        found.windows.setdefault(number, Tally()),
    ):
        tally.outcomes[line.outcome] += 1
        tally.tries += line.attempts
        if line.first_ms is not None:
            tally.firsts.append(line.first_ms)
            tally.pauses.append(line.pause_ms)

    if line.outcome != "answered":
        reason = generalise(line.reason)
        found.reasons[f"{line.route} {line.outcome} {reason}"] += 1

    if line.outcome == "cut":
        found.broken_after[f"{line.route} after {line.events} events"] += 1


def generalise(reason: str) -> str:
    """Return a reason without its figures, so that like ones count together."""
    return NUMBER.sub("#", reason)


def show_review(found: Review) -> None:
    """Print the tables."""
    headers = ["requests", *OUTCOMES, "sends", "first p50", "p95", "pause p95", "max"]
    print("By route (ms):")
    routes = sorted(found.routes.items(), key=lambda item: -total(item[1]))
    print_table(["route", *headers], [[name, *describe(one)] for name, one in routes])
    print("\nBy time (s since the first, ms):")
    first = min(found.windows, default=0)
    rows = [
        [f"{(number - first) * found.window:g}", *describe(tally)]
        for number, tally in sorted(found.windows.items())
    ]
    print_table(["from", *headers], rows)
    show_counts("Not answered", found.reasons)
    show_counts("Sends that failed", found.attempts)
    show_counts("Streams cut", found.broken_after)
    print(f"\nAnswers dropped for a larger model's: {found.larger}")
    if found.unread:
        places = ", ".join(found.unreadable)
        print(f"Lines that could not be read: {found.unread}, the first: {places}")


def total(tally: Tally) -> int:
    """Return how many requests a tally counts."""
    return tally.outcomes.total()


def describe(tally: Tally) -> list[object]:
    """Return the cells of one row."""
    return [
        total(tally),
        *(tally.outcomes[name] for name in OUTCOMES),
        tally.tries,
        find_quantile(tally.firsts, 0.5),
        find_quantile(tally.firsts, 0.95),
        find_quantile(tally.pauses, 0.95),
        max(tally.pauses, default=""),
    ]


def find_quantile(values: list[int], share: float) -> object:
    """Return a quantile of values, or nothing where there are none."""
    if not values:
        return ""

    return sorted(values)[int(share * (len(values) - 1))]


def show_counts(title: str, counts: Counter[str]) -> None:
    """Print the most frequent entries of a counter."""
    if not counts:
        return

    print(f"\n{title}:")
    for name, count in counts.most_common(MOST_REASONS):
        print(f"  {count:6d}  {name}")
