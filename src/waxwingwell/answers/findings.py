"""Checks answers and reports every finding together, each with its place."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from ..records import Finding
from .contradictions import find_contradictions
from .drafts import read_draft
from .drafts import validate_answers


if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Iterator

    from .drafts import Draft
    from .models import Answers


MAX_ANSWER_BYTES = 256 * 1024
"""Larger answers are refused unread."""

MAX_DEPTH = 12
"""Answers need fewer levels."""

MAX_KEY = 80
"""Characters of a key that a place shows."""

WHOLE = "answers"
"""Place of a finding about the whole."""


def check_answers(
    data: bytes,
    *,
    versions: Collection[str] | None,
    data_centres: Collection[str] | None = None,
) -> Result[Answers, tuple[Finding, ...]]:
    """Return the answers, or every finding about them.

    ``versions`` are the known version ids and ``data_centres`` the known data
    centres; None if they are not known here, and then they are not checked.
    """
    raw, findings = parse_answers(data)
    if raw is None:
        return Failure(tuple(findings))

    answers, faults = validate_answers(raw)
    draft = read_draft(raw)
    findings += faults
    findings += find_contradictions(draft)
    findings += find_unknown(draft, versions, data_centres)
    if findings or answers is None:
        return Failure(tuple(dict.fromkeys(findings)))

    return Success(answers)


def parse_answers(data: bytes) -> tuple[dict[str, Any] | None, list[Finding]]:
    """Return the JSON object, and findings about keys that stand twice."""
    if len(data) > MAX_ANSWER_BYTES:
        message = f"{len(data)} bytes are more than {MAX_ANSWER_BYTES}"
        return None, [Finding(WHOLE, message)]

    repeats: dict[int, list[str]] = {}

    def collect(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        found = dict(pairs)
        if len(found) < len(pairs):
            keys = [key for key, _ in pairs]
            repeats[id(found)] = [key for key in found if keys.count(key) > 1]

        return found

    def refuse(text: str) -> float:
        raise ValueError(f"{text} is not a number of JSON")

    try:
        raw = json.loads(data, object_pairs_hook=collect, parse_constant=refuse)
    except json.JSONDecodeError as error:
        place = f"line {error.lineno}, column {error.colno}"
        return None, [Finding(place, f"this is not JSON: {error.msg}")]
    except UnicodeDecodeError as error:
        return None, [Finding(f"byte {error.start}", "this is not UTF-8")]
    except (ValueError, RecursionError) as error:
        return None, [Finding(WHOLE, str(error))]

    if not isinstance(raw, dict):
        return None, [Finding(WHOLE, "answers are a JSON object")]

    return raw, list(walk_faults(raw, repeats, ()))


def walk_faults(
    value: object, repeats: dict[int, list[str]], place: tuple[str, ...]
) -> Iterator[Finding]:
    """Yield findings about keys that stand twice and nesting that goes too deep.

    ``repeats`` holds the repeated keys of an object by its identity.
    """
    if len(place) > MAX_DEPTH:
        yield Finding(".".join(place), "this is nested too deep")
        return

    for key in repeats.get(id(value), ()):
        where = ".".join((*place, show_key(key)))
        yield Finding(where, "this question is answered twice")

    items: Iterable[tuple[object, object]] = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)

    for step, item in items:
        yield from walk_faults(item, repeats, (*place, show_key(str(step))))


def show_key(key: str) -> str:
    """Return a key as text that every output can take."""
    return key.encode("utf-8", "backslashreplace").decode()[:MAX_KEY]


def find_unknown(
    draft: Draft,
    versions: Collection[str] | None,
    data_centres: Collection[str] | None,
) -> list[Finding]:
    """Return findings about versions and data centres that nobody knows."""
    findings: list[Finding] = []
    if versions is not None:
        findings += [
            Finding(item.place, f"the version {item.name!r} is not registered")
            for item in draft.allowed
            if item.name not in versions
        ]

    if data_centres is not None:
        findings += [
            Finding(item.place, f"there is no data centre {item.name!r}")
            for item in draft.data_centres
            if item.name not in data_centres
        ]

    return findings
