"""Validates answers and reports all findings at once, each with its place."""

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
"""Larger documents are refused without being parsed."""

MAX_DEPTH = 12
"""Levels of nesting; valid answers have fewer."""

MAX_KEY_LENGTH = 80
"""Characters of an object key that are shown in a place; the rest is cut off."""

ROOT_PLACE = "answers"
"""Place of a finding about the whole document."""


def check_answers(
    data: bytes,
    *,
    versions: Collection[str] | None,
    data_centres: Collection[str] | None = None,
) -> Result[Answers, tuple[Finding, ...]]:
    """Return the validated answers, or every finding about them.

    ``versions`` are the registered version ids and ``data_centres`` the existing
    data centres. A check is skipped if its argument is None.
    """
    raw, findings = parse_answers(data)
    if raw is None:
        return Failure(tuple(findings))

    answers, schema_findings = validate_answers(raw)
    draft = read_draft(raw)
    findings += schema_findings
    findings += find_contradictions(draft)
    findings += find_unknown_names(draft, versions, data_centres)
    if findings or answers is None:
        return Failure(tuple(dict.fromkeys(findings)))

    return Success(answers)


def parse_answers(data: bytes) -> tuple[dict[str, Any] | None, list[Finding]]:
    """Return the JSON object, and findings about duplicate keys and deep nesting."""
    if len(data) > MAX_ANSWER_BYTES:
        message = f"{len(data)} bytes are more than {MAX_ANSWER_BYTES}"
        return None, [Finding(ROOT_PLACE, message)]

    duplicates: dict[int, list[str]] = {}

    def build_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        mapping = dict(pairs)
        if len(mapping) < len(pairs):
            keys = [key for key, _ in pairs]
            duplicates[id(mapping)] = [key for key in mapping if keys.count(key) > 1]

        return mapping

    def reject_constant(text: str) -> float:
        raise ValueError(f"{text} is not a number of JSON")

    try:
        raw = json.loads(
            data, object_pairs_hook=build_object, parse_constant=reject_constant
        )
    except json.JSONDecodeError as error:
        place = f"line {error.lineno}, column {error.colno}"
        return None, [Finding(place, f"this is not JSON: {error.msg}")]
    except UnicodeDecodeError as error:
        return None, [Finding(f"byte {error.start}", "this is not UTF-8")]
    except (ValueError, RecursionError) as error:
        return None, [Finding(ROOT_PLACE, str(error))]

    if not isinstance(raw, dict):
        return None, [Finding(ROOT_PLACE, "answers are a JSON object")]

    return raw, list(check_structure(raw, duplicates, ()))


def check_structure(
    value: object, duplicates: dict[int, list[str]], place: tuple[str, ...]
) -> Iterator[Finding]:
    """Yield findings about duplicate keys and nesting that is too deep.

    ``duplicates`` maps the ``id`` of an object to its duplicate keys.
    """
    if len(place) > MAX_DEPTH:
        yield Finding(".".join(place), "this is nested too deep")
        return

    for key in duplicates.get(id(value), ()):
        where = ".".join((*place, escape_key(key)))
        yield Finding(where, "this question is answered twice")

    items: Iterable[tuple[object, object]] = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)

    for child_key, child in items:
        yield from check_structure(
            child, duplicates, (*place, escape_key(str(child_key)))
        )


def escape_key(key: str) -> str:
    """Return a shortened key with lone surrogates escaped, so that it fits UTF-8."""
    return key.encode("utf-8", "backslashreplace").decode()[:MAX_KEY_LENGTH]


def find_unknown_names(
    draft: Draft,
    versions: Collection[str] | None,
    data_centres: Collection[str] | None,
) -> list[Finding]:
    """Return findings about unregistered versions and unknown data centres."""
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
