"""``waxwingwell explain``: a request's history, joined from several logs."""

from __future__ import annotations

import json
import sys
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from .exits import ExitCode
from .exits import exit_with


if TYPE_CHECKING:
    from collections.abc import Iterable


STANDARD_INPUT = "-"
STANDARD_FIELDS = frozenset({"at", "node", "level", "event", "request"})
"""Standard fields of a structured line, left out of ``Line.fields``."""
MAX_STATE_CHANGES = 3
"""Preceding state changes shown for each process that handled the request."""
QUEUED = "gateway: Queued"
DEQUEUED = "gateway: Dequeued"
OUTCOME_TEXTS = {
    "answered": "It was answered.",
    "passed_on_failure": "The upstream itself failed it; its response was passed on.",
    "refused": "It did not run anywhere; the caller was told to come back.",
    "may_have_run": "It was sent and no whole answer came; whether it ran is unknown.",
    "cut": "Its stream broke off after it had begun and could not be resumed.",
    "undelivered": "It was answered, and its connection ended before all had left.",
    "caller_left": "The caller disconnected before the response was complete.",
}
"""Explanation of each outcome of a request."""


@dataclass(frozen=True, slots=True)
class Line:
    """A structured line of a process's log."""

    at: float
    node: str
    event: str
    request: str
    fields: dict[str, Any]


@dataclass(slots=True)
class Explanation:
    """The log lines that explain a request."""

    lines: list[Line] = field(default_factory=list)
    state_changes: list[Line] = field(default_factory=list)
    """Last state changes, before the request, of the processes that handled it."""


def explain(request_id: str, *files: str) -> str:
    """Explain a request from log files or standard input (``-`` or no file)."""
    explanation = collect_lines(request_id, read_files(files))
    if not explanation.lines:
        exit_with(ExitCode.REFUSED, f"no log line mentions request {request_id}")

    return "\n".join(render_explanation(explanation))


def read_files(files: Iterable[str]) -> Iterable[Line]:
    """Yield the structured lines of log files; other lines are skipped."""
    for name in files or (STANDARD_INPUT,):
        if name == STANDARD_INPUT:
            yield from read_lines(sys.stdin)
            continue

        try:
            with Path(name).open(errors="replace") as stream:
                yield from read_lines(stream)
        except OSError as error:
            exit_with(ExitCode.BAD_INPUT, f"{name}: {error.strerror}")


def read_lines(stream: Iterable[str]) -> Iterable[Line]:
    """Yield a log's structured lines, without text that other programs put before."""
    for text in stream:
        line = read_line(text[text.find("{") :]) if "{" in text else None
        if line is not None:
            yield line


def read_line(text: str) -> Line | None:
    """Return a structured line, or None if the text isn't one."""
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
        fields={name: found[name] for name in found if name not in STANDARD_FIELDS},
    )


def collect_lines(request_id: str, lines: Iterable[Line]) -> Explanation:
    """Collect a request's lines and the preceding state changes of its processes.

    The processes' clocks differ, so only lines of the same process can be ordered;
    they are grouped by process.
    """
    explanation = Explanation()
    latest: dict[str, list[Line]] = {}
    seen: set[str] = set()
    for line in lines:
        if line.request == request_id:
            explanation.lines.append(line)
            seen.add(line.node)
        elif not line.request and line.node not in seen:
            latest.setdefault(line.node, []).append(line)
            del latest[line.node][:-MAX_STATE_CHANGES]

    explanation.lines.sort(key=lambda line: (line.node, line.at))
    for node in sorted(seen):
        explanation.state_changes.extend(latest.get(node, ()))

    return explanation


def render_explanation(explanation: Explanation) -> list[str]:
    """Return the explanation as lines of text."""
    text = ["Before it:"] if explanation.state_changes else []
    text += [render_line(line) for line in explanation.state_changes]
    text.append("The request:")
    text += [render_line(line) for line in explanation.lines]
    text += describe_waits(explanation)
    text.append(describe_outcome(explanation))
    return text


def render_line(line: Line) -> str:
    """Return one log line as text."""
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if value not in ("", None)
    )
    return f"  {line.at:.3f} {line.node} {line.event} {fields}".rstrip()


def describe_waits(explanation: Explanation) -> list[str]:
    """Return what a request waited for at gateways, and how its waits ended."""
    return [
        *(describe_wait(one) for one in explanation.lines if one.event == QUEUED),
        *(
            f"It left the queue of {one.node} after {one.fields.get('waited_ms')} ms: "
            f"{one.fields.get('result')}."
            for one in explanation.lines
            if one.event == DEQUEUED
        ),
    ]


def describe_wait(line: Line) -> str:
    """Return what was short as a request was queued."""
    found = line.fields
    text = (
        f"It waited at {line.node} for room at upstreams of {found.get('service')}: "
        f"{found.get('running')} requests ran in {found.get('slots')} slots"
    )
    if found.get("memory"):
        text += f" and needed {found.get('tokens')} of {found['memory']} tokens"

    place, rank = found.get("place"), found.get("rank")
    return f"{text}; {place} requests were before it, its rank was {rank}."


def describe_outcome(explanation: Explanation) -> str:
    """Return the outcome that the last line of the request reports.

    Of a request that another gateway relayed, what its caller's gateway reports counts.
    """
    ends = [line for line in explanation.lines if "outcome" in line.fields]
    if not ends:
        return "No process logged how it ended: the one that handled it may have died."

    own = [line for line in ends if not line.fields.get("relayed")]
    end = (own or ends)[-1].fields
    cause = OUTCOME_TEXTS.get(str(end["outcome"]), f"It ended as {end['outcome']}.")
    reason = end.get("reason") or "none given"
    return f"{cause} Status {end.get('status', 0)}, reason: {reason}."
