"""``waxwingwell review``: outcomes of all requests, from several processes' logs."""

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
from .exits import exit_with
from .output import print_table
from .review_engines import EngineUse
from .review_engines import count_placement
from .review_engines import record_speed
from .review_engines import show_engines


if TYPE_CHECKING:
    from collections.abc import Iterable


STANDARD_INPUT = "-"
WINDOW_SECONDS = 2.0
MAX_REASONS = 15
"""Maximum rows of the tables of reasons."""
MAX_UNREADABLE_PLACES = 3
"""Maximum unreadable lines that are listed with file and number."""
NO_ROUTE = "(none)"
"""Route of requests that were refused before their route was determined."""
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
    """The fields of a structured log line that the review uses."""

    at: float
    event: str
    request: str = ""
    route: str = NO_ROUTE
    outcome: str = ""
    reason: str = ""
    fate: str = ""
    attempts: int = 0
    events: int = 0
    first_ms: int | None = None
    pause_ms: int = 0
    node: str = ""
    upstream: str | None = None
    relayed: bool | None = None
    factor: float | None = None
    """How many times as long as the median engine an upstream takes."""


@dataclass(slots=True)
class Tally:
    """Outcomes and delays of a set of requests."""

    outcomes: Counter[str] = field(default_factory=Counter)
    first_event_delays: list[int] = field(default_factory=list)
    """Milliseconds to the first event, of requests that received one."""
    longest_pauses: list[int] = field(default_factory=list)
    """Each request's longest pause between two events, in milliseconds."""
    sends: int = 0
    """Attempts at upstreams, in total."""


@dataclass(slots=True)
class Review:
    """Totals over the log lines that were read."""

    window: float
    routes: dict[str, Tally] = field(default_factory=dict)
    windows: dict[int, Tally] = field(default_factory=dict)
    """Tallies by number of the window since the epoch."""
    reasons: Counter[str] = field(default_factory=Counter)
    """Number of unanswered requests by route, outcome and reason."""
    attempts: Counter[str] = field(default_factory=Counter)
    """Number of failed attempts by outcome and reason."""
    cut_streams: Counter[str] = field(default_factory=Counter)
    """Number of cut streams by route and number of events received."""
    engines: dict[str, EngineUse] = field(default_factory=dict)
    """Speed and use of engines, by upstream."""
    larger_model: int = 0
    """Responses that were discarded in favour of a larger model's."""
    lines: int = 0
    unreadable_places: list[str] = field(default_factory=list)
    """File and number of the first lines that could not be read."""
    unreadable_count: int = 0
    """Number of lines that could not be read."""


def review(*files: str, window: float = WINDOW_SECONDS, plot: str = "") -> None:
    """Show outcomes by route and by time, reasons of failures, and engines by speed.

    Args:
        files: logs of any processes; ``-`` or none for standard input.
        window: seconds covered by one row of the table by time.
        plot: file for a plot of the outcomes over time (needs matplotlib).
    """
    if window <= 0:
        exit_with(ExitCode.BAD_INPUT, f"review: window: {window} is not above 0")

    result = Review(window)
    for name in files or (STANDARD_INPUT,):
        read_log(result, name)

    if not result.lines:
        exit_with(ExitCode.REFUSED, "no structured line in what was read")

    show_review(result)
    if plot:
        from .review_plot import plot_windows

        print(f"written: {plot_windows(result, Path(plot))}")


def read_log(result: Review, name: str) -> None:
    """Count the lines of one log; a file that can't be opened ends the command."""
    if name == STANDARD_INPUT:
        count_lines(result, name, sys.stdin)
        return

    try:
        with Path(name).open(errors="replace") as stream:
            count_lines(result, name, stream)
    except OSError as error:
        exit_with(ExitCode.BAD_INPUT, f"{name}: {error.strerror}")


def count_lines(result: Review, name: str, stream: Iterable[str]) -> None:
    """Count a log's structured lines, skipping any text before each."""
    decode = msgspec.json.Decoder(LogLine).decode
    for number, text in enumerate(stream, 1):
        start = text.find("{")
        if start < 0 and not text.strip():
            continue

        try:
            line = decode(text[max(start, 0) :])
        except (msgspec.DecodeError, UnicodeEncodeError):
            result.unreadable_count += 1
            if len(result.unreadable_places) < MAX_UNREADABLE_PLACES:
                result.unreadable_places.append(f"{name}:{number}")

            continue

        result.lines += 1
        count_line(result, line)


def count_line(result: Review, line: LogLine) -> None:
    """Count one line according to its event."""
    if line.event == "gateway: Request ended":
        count_request(result, line)
    elif line.event == "gateway: Attempt ended":
        result.attempts[f"{line.fate} {mask_numbers(line.reason)}"] += 1
    elif line.event == "gateway: Larger model":
        result.larger_model += 1
    elif line.event == "gateway: Placed" and line.upstream and not line.relayed:
        count_placement(result.engines, line.upstream, line.route, line.node)
    elif line.event == "registry: Engine speed changed" and line.upstream:
        record_speed(result.engines, line.upstream, line.factor, line.at)


def count_request(result: Review, line: LogLine) -> None:
    """Count a finished request."""
    number = int(line.at // result.window)
    for tally in (
        result.routes.setdefault(line.route, Tally()),
        result.windows.setdefault(number, Tally()),
    ):
        tally.outcomes[line.outcome] += 1
        tally.sends += line.attempts
        if line.first_ms is not None:
            tally.first_event_delays.append(line.first_ms)
            tally.longest_pauses.append(line.pause_ms)

    if line.outcome != "answered":
        reason = mask_numbers(line.reason)
        result.reasons[f"{line.route} {line.outcome} {reason}"] += 1

    if line.outcome == "cut":
        result.cut_streams[f"{line.route} after {line.events} events"] += 1


def mask_numbers(reason: str) -> str:
    """Return a reason with its numbers masked, so that similar reasons are grouped."""
    return NUMBER.sub("#", reason)


def show_review(result: Review) -> None:
    """Print the review's tables."""
    headers = ["requests", *OUTCOMES, "sends", "first p50", "p95", "pause p95", "max"]
    print("By route (ms):")
    routes = sorted(result.routes.items(), key=lambda item: -total(item[1]))
    print_table(["route", *headers], [[name, *make_cells(one)] for name, one in routes])
    print("\nBy time (s since the first, ms):")
    first = min(result.windows, default=0)
    rows = [
        [f"{(number - first) * result.window:g}", *make_cells(tally)]
        for number, tally in sorted(result.windows.items())
    ]
    print_table(["from", *headers], rows)
    show_counts("Not answered", result.reasons)
    show_counts("Sends that failed", result.attempts)
    show_counts("Streams cut", result.cut_streams)
    show_engines(result.engines)
    print(f"\nAnswers dropped for a larger model's: {result.larger_model}")
    if result.unreadable_count:
        places = ", ".join(result.unreadable_places)
        print(
            f"Lines that could not be read: {result.unreadable_count}, "
            f"the first: {places}"
        )


def total(tally: Tally) -> int:
    """Return the number of requests of a tally."""
    return tally.outcomes.total()


def make_cells(tally: Tally) -> list[object]:
    """Return a tally's cells of a table row."""
    return [
        total(tally),
        *(tally.outcomes[name] for name in OUTCOMES),
        tally.sends,
        find_quantile(tally.first_event_delays, 0.5),
        find_quantile(tally.first_event_delays, 0.95),
        find_quantile(tally.longest_pauses, 0.95),
        max(tally.longest_pauses, default=""),
    ]


def find_quantile(values: list[int], share: float) -> object:
    """Return a quantile of values, or an empty cell without any."""
    if not values:
        return ""

    return sorted(values)[int(share * (len(values) - 1))]


def show_counts(title: str, counts: Counter[str]) -> None:
    """Print the most frequent entries of a counter."""
    if not counts:
        return

    print(f"\n{title}:")
    for name, count in counts.most_common(MAX_REASONS):
        print(f"  {count:6d}  {name}")
