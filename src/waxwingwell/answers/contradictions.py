"""Checks that find answers which contradict each other."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..keys import EMPTY_DIGEST
from ..keys import hash_key
from ..records import Finding
from .generation import PACES


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator

    from .drafts import Draft
    from .drafts import PlacedName
    from .models import CallAnswers


DEMO_KEY = "demo-key"
"""Publicly known key of the demo workspace; only the embedded role accepts it."""

MAX_FIRST_STAGE = 0.1
"""Largest share of the first roll-out stage if exposure has the highest weight."""

MAX_WAIT_SECONDS = 30.0
"""Longest queue wait in seconds that is allowed if latency has the highest weight."""


def find_contradictions(draft: Draft) -> list[Finding]:
    """Return every contradiction among the valid parts of the answers."""
    checks: tuple[Callable[[Draft], Iterator[Finding]], ...] = (
        check_names,
        check_default_kind,
        check_calls,
        check_groups,
        check_models,
        check_weights,
        check_stages,
        check_exposure,
        check_margin,
        check_max_wait,
        check_data_centres,
        check_keys,
    )
    return [finding for check in checks for finding in check(draft)]


def find_duplicates(names: Iterable[tuple[str, str]], label: str) -> Iterator[Finding]:
    """Yield a finding for each repeated name; ``names`` are pairs of place and name."""
    seen: dict[str, str] = {}
    for place, name in names:
        if name in seen:
            yield Finding(place, f"{label} {name!r} stands at {seen[name]} already")
        else:
            seen[name] = place


def list_kind_and_call_names(draft: Draft) -> list[tuple[str, str]]:
    """Return the place and name of every kind of work and every call."""
    return unpack_names(draft.kind_names + draft.call_names)


def unpack_names(names: Iterable[PlacedName]) -> list[tuple[str, str]]:
    """Return the place and name of each item as a pair."""
    return [(item.place, item.name) for item in names]


def check_names(draft: Draft) -> Iterator[Finding]:
    """Check that names are unique.

    Kinds and calls share one namespace, since ``who_waits`` refers to both.
    """
    yield from find_duplicates(list_kind_and_call_names(draft), "the name")
    yield from find_duplicates(unpack_names(draft.services), "the service")


def check_default_kind(draft: Draft) -> Iterator[Finding]:
    """Check that the default kind is one of the declared kinds."""
    names = [item.name for item in draft.kind_names]
    if draft.default_kind is not None and draft.default_kind not in names:
        message = f"{draft.default_kind!r} is none of the kinds"
        yield Finding("default_kind", message)


def check_calls(draft: Draft) -> Iterator[Finding]:
    """Check that no call is declared twice, with the same or another ``repeatable``."""
    seen: dict[tuple[str, str, str], tuple[str, CallAnswers]] = {}
    for place, service, call in draft.calls:
        for method in call.methods:
            first = seen.setdefault((service, call.path, method), (place, call))
            if first[1] is call:
                continue

            where = f"{method} {call.path}"
            if first[1].repeatable == call.repeatable:
                yield Finding(place, f"{where} stands at {first[0]} already")
            else:
                message = f"{where} may be repeated here or at {first[0]}, not at both"
                yield Finding(f"{place}.repeatable", message)


def check_groups(draft: Draft) -> Iterator[Finding]:
    """Check that ``who_waits`` lists each kind and call once, and no other name."""
    names = list_kind_and_call_names(draft)
    known = {name for _, name in names}
    groups: dict[str, tuple[int, str]] = {}
    for number, item in draft.who_waits:
        if item.name not in known:
            message = f"{item.name!r} is neither a kind nor a call"
            yield Finding(item.place, message)
            continue

        first = groups.setdefault(item.name, (number, item.place))
        if first[1] == item.place:
            continue

        if first[0] == number:
            message = f"{item.name!r} stands at {first[1]} already"
        else:
            message = f"{item.name!r} cannot wait for itself; it stands at {first[1]}"

        yield Finding(item.place, message)

    for place, name in names:
        if name not in groups:
            yield Finding(place, f"{name!r} stands in no group of who_waits")


def check_models(draft: Draft) -> Iterator[Finding]:
    """Check that no version is both allowed and excluded."""
    yield from find_duplicates(unpack_names(draft.allowed), "the version")
    yield from find_duplicates(unpack_names(draft.never), "the name")
    never = {item.name: item.place for item in draft.never}
    for item in draft.allowed:
        model = item.name.partition("@")[0]
        place = never.get(item.name) or never.get(model)
        if place is not None:
            message = f"{item.name!r} is allowed here and never allowed at {place}"
            yield Finding(item.place, message)


def check_weights(draft: Draft) -> Iterator[Finding]:
    """Check that at least one weight is positive."""
    weights = draft.weights
    if weights is None:
        return

    if weights.cost == weights.latency == weights.exposure == 0:
        yield Finding("weights", "one of cost, latency and exposure must matter")


def check_stages(draft: Draft) -> Iterator[Finding]:
    """Check that stages rise to 1 and aren't combined with a predefined pace."""
    rollout = draft.rollout
    if rollout is None or rollout.stages is None:
        return

    stages = rollout.stages
    if rollout.pace is not None:
        message = "a pace has its own stages; answer rollout.pace or this"
        yield Finding("rollout.stages", message)

    for index in range(1, len(stages)):
        if stages[index] <= stages[index - 1]:
            message = f"{stages[index]:g} does not rise above {stages[index - 1]:g}"
            yield Finding(f"rollout.stages.{index}", message)

    if stages[-1] != 1.0:
        message = "the last stage must be 1, so that the roll-out can end"
        yield Finding(f"rollout.stages.{len(stages) - 1}", message)


def check_exposure(draft: Draft) -> Iterator[Finding]:
    """Check that the first stage is small if exposure has the highest weight."""
    weights, rollout = draft.weights, draft.rollout
    if weights is None or rollout is None:
        return

    stages = rollout.stages
    if stages is None and rollout.pace is not None:
        stages = PACES[rollout.pace].stages

    heaviest = weights.exposure > max(weights.cost, weights.latency)
    if heaviest and stages is not None and stages[0] > MAX_FIRST_STAGE:
        place = "rollout.stages.0" if rollout.stages else "rollout.pace"
        message = (
            f"weights.exposure weighs most, but {stages[0]:g} of new sessions would "
            f"meet an untried version; begin with {MAX_FIRST_STAGE:g} or less"
        )
        yield Finding(place, message)


def check_margin(draft: Draft) -> Iterator[Finding]:
    """Check that the margin is smaller than each quality target.

    Otherwise no rating could be low enough for a version to count as bad.
    """
    if draft.rollout is None or draft.rollout.margin is None:
        return

    for place, kind in draft.kinds:
        if draft.rollout.margin >= kind.quality_target:
            message = (
                f"{draft.rollout.margin:g} is the whole of {place}.quality_target "
                f"({kind.quality_target:g}); no version could be found bad"
            )
            yield Finding("rollout.margin", message)


def check_max_wait(draft: Draft) -> Iterator[Finding]:
    """Check that the longest wait is short if latency has the highest weight."""
    weights, limits = draft.weights, draft.limits
    if weights is None or limits is None:
        return

    heaviest = weights.latency > max(weights.cost, weights.exposure)
    if heaviest and limits.max_wait_seconds > MAX_WAIT_SECONDS:
        message = (
            f"weights.latency weighs most, but a caller may wait "
            f"{limits.max_wait_seconds:g} s; {MAX_WAIT_SECONDS:g} or less goes with it"
        )
        yield Finding("limits.max_wait_seconds", message)


def check_data_centres(draft: Draft) -> Iterator[Finding]:
    """Check that each data centre is listed once."""
    yield from find_duplicates(unpack_names(draft.data_centres), "the data centre")


def check_keys(draft: Draft) -> Iterator[Finding]:
    """Check that key names and digests are unique, and that no key is known to all."""
    yield from find_duplicates(
        [(f"{place}.name", key.name) for place, key in draft.keys], "the key"
    )
    yield from find_duplicates(
        [(f"{place}.sha256", key.sha256) for place, key in draft.keys], "the digest"
    )
    demo = hash_key(DEMO_KEY)
    for place, key in draft.keys:
        if key.sha256 == demo:
            message = f"{DEMO_KEY!r} is the demo's key; everyone knows it"
            yield Finding(f"{place}.sha256", message)
        elif key.sha256 == EMPTY_DIGEST:
            yield Finding(f"{place}.sha256", "this is the digest of an empty key")
