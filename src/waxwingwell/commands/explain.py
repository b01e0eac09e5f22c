"""``waxwingwell explain``: one account of a request from several processes' logs."""

from __future__ import annotations

import json
import sys
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from .exits import ExitCode
from .exits import leave


if TYPE_CHECKING:
    from collections.abc import Iterable


STANDARD_INPUT = "-"
KNOWN = frozenset({"at", "node", "level", "event", "request"})
"""Fields of a line that the account shows by themselves."""
BELIEFS = 3
"""Changes of belief that are shown before the request, of each process it met."""
CAUSES = {
    "answered": "It was answered.",
    "passed_on_failure": "The upstream itself failed it; its answer was passed on.",
    "refused": "It did not run anywhere; the caller was told to come back.",
    "may_have_run": "It was sent and no whole answer came; whether it ran is unknown.",
    "cut": "Its stream broke off after it had begun and could not be resumed.",
    "undelivered": "It was answered, and its connection ended before all had left.",
    "caller_left": "The caller went away before the answer was complete.",
}
"""What each outcome of a request means."""


@dataclass(frozen=True, slots=True)
class Line:
    """One structured line of a process's log."""

    at: float
    node: str
    event: str
    request: str
    fields: dict[str, Any]


@dataclass(slots=True)
class Account:
    """All that is known of one request."""

    lines: list[Line] = field(default_factory=list)
    beliefs: list[Line] = field(default_factory=list)
    """Last changes of belief at the processes that the request met."""


def explain(request_id: str, *files: str) -> str:
    """Join the lines about a request; files or standard input (``-`` or none)."""
    account = find_account(request_id, read_files(files))
    if not account.lines:
        leave(ExitCode.REFUSED, f"no line tells of request {request_id}")

    return "\n".join(render_account(account))


def read_files(files: Iterable[str]) -> Iterable[Line]:
    """Yield the structured lines of files; what is no such line is passed over."""
    for name in files or (STANDARD_INPUT,):
        if name == STANDARD_INPUT:
            yield from read_lines(sys.stdin)
            continue

        try:
            with Path(name).open(errors="replace") as stream:
                yield from read_lines(stream)
        except OSError as error:
            leave(ExitCode.BAD_INPUT, f"{name}: {error.strerror}")


def read_lines(stream: Iterable[str]) -> Iterable[Line]:
    """Yield the structured lines of a log; other programs may put text before them."""
    for text in stream:
        line = read_line(text[text.find("{") :]) if "{" in text else None
        if line is not None:
            yield line


def read_line(text: str) -> Line | None:
    """Return a structured line, or None."""
    try:
        found = json.loads(text)
    except ValueError:
        return None

    if not isinstance(found, dict) or "event" not in found or "at" not in found:
        return None

    return Line(
        at=float(found["at"]),
        node=str(found.get("node", "?")),
        event=str(found["event"]),
        request=str(found.get("request", "")),
        fields={name: found[name] for name in found if name not in KNOWN},
    )


def find_account(request_id: str, lines: Iterable[Line]) -> Account:
    """Collect a request's lines, and what its processes last came to believe before.

    Clocks of processes differ, so lines of one process are only ordered against each
    other; the account shows them process by process.
    """
    account = Account()
    latest: dict[str, list[Line]] = {}
    seen: set[str] = set()
    for line in lines:
        if line.request == request_id:
            account.lines.append(line)
            seen.add(line.node)
        elif not line.request and line.node not in seen:
            latest.setdefault(line.node, []).append(line)
            del latest[line.node][:-BELIEFS]

    account.lines.sort(key=lambda line: (line.node, line.at))
    for node in sorted(seen):
        account.beliefs.extend(latest.get(node, ()))

    return account


def render_account(account: Account) -> list[str]:
    """Return the account as text."""
    text = ["Before it:"] if account.beliefs else []
    text += [render_line(line) for line in account.beliefs]
    text.append("The request:")
    text += [render_line(line) for line in account.lines]
    text.append(find_cause(account))
    return text


def render_line(line: Line) -> str:
    """Return one line of the account."""
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if value not in ("", None)
    )
    return f"  {line.at:.3f} {line.node} {line.event} {fields}".rstrip()


def find_cause(account: Account) -> str:
    """Return what the last line of the request says of its end."""
    ends = [line for line in account.lines if "outcome" in line.fields]
    if not ends:
        return "No process tells how it ended: the one that held it may have died."

    end = ends[-1].fields
    cause = CAUSES.get(str(end["outcome"]), f"It ended as {end['outcome']}.")
    reason = end.get("reason") or "none given"
    return f"{cause} Status {end.get('status', 0)}, reason: {reason}."
