"""Reads answers piece by piece, so that one bad piece hides no other finding."""

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


MAX_NAME = 200
"""Longer texts are no names; the check of form reports them."""

PieceT = TypeVar("PieceT")


@dataclass(frozen=True, slots=True)
class Placed:
    """Where a named thing stands."""

    place: str
    name: str


@dataclass(slots=True)
class Draft:
    """The pieces of some answers that are well formed, with their places."""

    kinds: list[tuple[str, KindAnswers]] = field(default_factory=list)
    kind_names: list[Placed] = field(default_factory=list)
    """Names of all kinds, also of those that are not well formed otherwise."""
    call_names: list[Placed] = field(default_factory=list)
    services: list[Placed] = field(default_factory=list)
    calls: list[tuple[str, str, CallAnswers]] = field(default_factory=list)
    """Place, service and call."""
    keys: list[tuple[str, KeyAnswers]] = field(default_factory=list)
    who_waits: list[tuple[int, Placed]] = field(default_factory=list)
    """Number of the group and the name in it."""
    allowed: list[Placed] = field(default_factory=list)
    never: list[Placed] = field(default_factory=list)
    data_centres: list[Placed] = field(default_factory=list)
    weights: WeightAnswers | None = None
    limits: LimitAnswers | None = None
    rollout: RolloutAnswers | None = None
    default_kind: str | None = None


def validate_answers(raw: dict[str, Any]) -> tuple[Answers | None, list[Finding]]:
    """Validate the whole; every fault of form becomes a finding."""
    try:
        return Answers.model_validate_json(json.dumps(raw)), []
    except ValidationError as error:
        return None, [
            Finding(join_place(item["loc"]), describe_fault(item["type"], item["msg"]))
            for item in error.errors(include_url=False)
        ]


def join_place(parts: Sequence[int | str]) -> str:
    """Return a dotted place."""
    return ".".join(str(part) for part in parts) or "answers"


def describe_fault(kind: str, message: str) -> str:
    """Return a fault of form in plain words."""
    if kind == "missing":
        return "this question is not answered"

    if kind == "extra_forbidden":
        return "there is no such question"

    return message[:1].lower() + message[1:]


def read_draft(raw: dict[str, Any]) -> Draft:
    """Return the pieces that are well formed, each read on its own."""
    draft = Draft()
    draft.kinds = read_items(raw, "kinds", KindAnswers)
    draft.kind_names = read_name_fields(raw.get("kinds"), "kinds")
    draft.keys = read_items(raw, "keys", KeyAnswers)
    draft.weights = read_piece(raw.get("weights", {}), WeightAnswers)
    draft.limits = read_piece(raw.get("limits", {}), LimitAnswers)
    draft.rollout = read_piece(raw.get("rollout", {}), RolloutAnswers)
    draft.default_kind = read_piece(raw.get("default_kind"), str)
    draft.data_centres = read_names(raw.get("data_centres"), "data_centres")
    read_models(draft, raw.get("models"))
    read_services(draft, raw.get("services"))
    read_groups(draft, raw.get("who_waits"))
    return draft


def read_piece(raw: object, kind: type[PieceT]) -> PieceT | None:
    """Return one piece, or None if it is not well formed."""
    try:
        return TypeAdapter(kind).validate_json(json.dumps(raw), strict=True)
    except ValidationError:
        return None


def read_items(
    raw: dict[str, Any], name: str, kind: type[PieceT]
) -> list[tuple[str, PieceT]]:
    """Return the well-formed items of a list with their places."""
    items = []
    for place, value in place_items(raw.get(name), name):
        piece = read_piece(value, kind)
        if piece is not None:
            items.append((place, piece))

    return items


def place_items(raw: object, place: str) -> list[tuple[str, Any]]:
    """Return the items of a list with their places; none if it is no list."""
    if not isinstance(raw, list):
        return []

    return [(f"{place}.{index}", value) for index, value in enumerate(raw)]


def read_names(raw: object, place: str) -> list[Placed]:
    """Return the texts of a list with their places."""
    return [
        Placed(where, value)
        for where, value in place_items(raw, place)
        if isinstance(value, str) and len(value) <= MAX_NAME
    ]


def read_name_fields(raw: object, place: str) -> list[Placed]:
    """Return the name of each object in a list."""
    names = [
        (f"{where}.name", value.get("name"))
        for where, value in place_items(raw, place)
        if isinstance(value, dict)
    ]
    return [
        Placed(where, name)
        for where, name in names
        if isinstance(name, str) and len(name) <= MAX_NAME
    ]


def read_models(draft: Draft, raw: object) -> None:
    """Read the versions that are allowed and those that never are."""
    if not isinstance(raw, dict):
        return

    for name in ModelAnswers.model_fields:
        names = read_names(raw.get(name), f"models.{name}")
        setattr(draft, name, names)


def read_services(draft: Draft, raw: object) -> None:
    """Read the services' names and each of their calls."""
    draft.services = read_name_fields(raw, "services")
    for place, service in place_items(raw, "services"):
        if not isinstance(service, dict):
            continue

        name = str(service.get("name"))
        names = read_name_fields(service.get("calls"), f"{place}.calls")
        draft.call_names += names
        calls = read_items(service, "calls", CallAnswers)
        draft.calls += [(f"{place}.{where}", name, call) for where, call in calls]


def read_groups(draft: Draft, raw: object) -> None:
    """Read the groups of who waits for whom."""
    for index, (place, group) in enumerate(place_items(raw, "who_waits")):
        draft.who_waits += [(index, name) for name in read_names(group, place)]
