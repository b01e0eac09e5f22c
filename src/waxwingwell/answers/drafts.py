"""Parses each part of the answers separately, so that one error hides no other."""

from __future__ import annotations

import json
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

from pydantic import TypeAdapter
from pydantic import ValidationError

from ..records import Finding
from .models import Answers
from .models import CallAnswers
from .models import KeyAnswers
from .models import KindAnswers
from .models import LimitAnswers
from .models import ModelAnswers
from .models import RolloutAnswers
from .models import WeightAnswers


if TYPE_CHECKING:
    from collections.abc import Sequence


MAX_NAME_LENGTH = 200
"""Characters of a name; schema validation reports longer ones."""

ValueT = TypeVar("ValueT")


@dataclass(frozen=True, slots=True)
class PlacedName:
    """A name and its place, a dotted path in the answers."""

    place: str
    name: str


@dataclass(slots=True)
class Draft:
    """The parts of the answers that are valid by themselves, with their places."""

    kinds: list[tuple[str, KindAnswers]] = field(default_factory=list)
    kind_names: list[PlacedName] = field(default_factory=list)
    """Names of all kinds, including kinds that are invalid otherwise."""
    call_names: list[PlacedName] = field(default_factory=list)
    services: list[PlacedName] = field(default_factory=list)
    calls: list[tuple[str, str, CallAnswers]] = field(default_factory=list)
    """Tuples of place, service name and call."""
    keys: list[tuple[str, KeyAnswers]] = field(default_factory=list)
    who_waits: list[tuple[int, PlacedName]] = field(default_factory=list)
    """Pairs of a group's index and a name in that group."""
    allowed: list[PlacedName] = field(default_factory=list)
    never: list[PlacedName] = field(default_factory=list)
    data_centres: list[PlacedName] = field(default_factory=list)
    weights: WeightAnswers | None = None
    limits: LimitAnswers | None = None
    rollout: RolloutAnswers | None = None
    default_kind: str | None = None


def validate_answers(raw: dict[str, Any]) -> tuple[Answers | None, list[Finding]]:
    """Validate against the schema; every validation error becomes a finding."""
    try:
        return Answers.model_validate_json(json.dumps(raw)), []
    except ValidationError as error:
        return None, [
            Finding(
                format_place(item["loc"]),
                describe_validation_error(item["type"], item["msg"]),
            )
            for item in error.errors(include_url=False)
        ]


def format_place(parts: Sequence[int | str]) -> str:
    """Return the place of a value as a dotted path."""
    return ".".join(str(part) for part in parts) or "answers"


def describe_validation_error(error_type: str, message: str) -> str:
    """Return the message of a validation error in terms of the questionnaire."""
    if error_type == "missing":
        return "this question is not answered"

    if error_type == "extra_forbidden":
        return "there is no such question"

    return message[:1].lower() + message[1:]


def read_draft(raw: dict[str, Any]) -> Draft:
    """Return the valid parts of the answers, each validated separately."""
    draft = Draft()
    draft.kinds = read_items(raw, "kinds", KindAnswers)
    draft.kind_names = read_name_fields(raw.get("kinds"), "kinds")
    draft.keys = read_items(raw, "keys", KeyAnswers)
    draft.weights = read_value(raw.get("weights", {}), WeightAnswers)
    draft.limits = read_value(raw.get("limits", {}), LimitAnswers)
    draft.rollout = read_value(raw.get("rollout", {}), RolloutAnswers)
    draft.default_kind = read_value(raw.get("default_kind"), str)
    draft.data_centres = read_names(raw.get("data_centres"), "data_centres")
    read_models(draft, raw.get("models"))
    read_services(draft, raw.get("services"))
    read_groups(draft, raw.get("who_waits"))
    return draft


def read_value(raw: object, value_type: type[ValueT]) -> ValueT | None:
    """Return one validated value, or None if it is invalid."""
    try:
        return TypeAdapter(value_type).validate_json(json.dumps(raw), strict=True)
    except ValidationError:
        return None


def read_items(
    raw: dict[str, Any], name: str, value_type: type[ValueT]
) -> list[tuple[str, ValueT]]:
    """Return the valid items of a list with their places."""
    items = []
    for place, value in enumerate_items(raw.get(name), name):
        item = read_value(value, value_type)
        if item is not None:
            items.append((place, item))

    return items


def enumerate_items(raw: object, place: str) -> list[tuple[str, Any]]:
    """Return the items of a list with their places; none if ``raw`` isn't a list."""
    if not isinstance(raw, list):
        return []

    return [(f"{place}.{index}", value) for index, value in enumerate(raw)]


def read_names(raw: object, place: str) -> list[PlacedName]:
    """Return the strings of a list that are short enough for names, with places."""
    return [
        PlacedName(where, value)
        for where, value in enumerate_items(raw, place)
        if isinstance(value, str) and len(value) <= MAX_NAME_LENGTH
    ]


def read_name_fields(raw: object, place: str) -> list[PlacedName]:
    """Return the ``name`` of each object in a list, with its place."""
    names = [
        (f"{where}.name", value.get("name"))
        for where, value in enumerate_items(raw, place)
        if isinstance(value, dict)
    ]
    return [
        PlacedName(where, name)
        for where, name in names
        if isinstance(name, str) and len(name) <= MAX_NAME_LENGTH
    ]


def read_models(draft: Draft, raw: object) -> None:
    """Add the allowed versions and the excluded models and versions to ``draft``."""
    if not isinstance(raw, dict):
        return

    for name in ModelAnswers.model_fields:
        names = read_names(raw.get(name), f"models.{name}")
        setattr(draft, name, names)


def read_services(draft: Draft, raw: object) -> None:
    """Add the names of the services and their valid calls to ``draft``."""
    draft.services = read_name_fields(raw, "services")
    for place, service in enumerate_items(raw, "services"):
        if not isinstance(service, dict):
            continue

        name = str(service.get("name"))
        names = read_name_fields(service.get("calls"), f"{place}.calls")
        draft.call_names += names
        calls = read_items(service, "calls", CallAnswers)
        draft.calls += [(f"{place}.{where}", name, call) for where, call in calls]


def read_groups(draft: Draft, raw: object) -> None:
    """Add the priority groups of ``who_waits`` to ``draft``."""
    for index, (place, group) in enumerate(enumerate_items(raw, "who_waits")):
        draft.who_waits += [(index, name) for name in read_names(group, place)]
