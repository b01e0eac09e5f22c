"""Human-readable differences in behaviour between two configurations."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..records import PRIORITY_ORDER


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator

    from ..records import KeyHash
    from ..records import Limits
    from ..records import Priority
    from ..records import RolloutPace
    from ..records import ServiceRule
    from ..records import Weighing
    from ..records import WorkKind
    from ..records import WorkspaceConfig


def describe_differences(
    old: WorkspaceConfig | None, new: WorkspaceConfig
) -> tuple[str, ...]:
    """Return one line for each change that callers notice; empty if there is none."""
    if old is None:
        return tuple(describe_workspace(new))

    comparisons: tuple[
        Callable[[WorkspaceConfig, WorkspaceConfig], Iterator[str]], ...
    ] = (
        compare_versions,
        compare_kinds,
        compare_rules,
        compare_keys,
        compare_data_centres,
    )
    lines = [line for compare in comparisons for line in compare(old, new)]
    lines += compare_weights(old.weighing, new.weighing)
    lines += compare_limits(old.limits, new.limits)
    lines += compare_paces(old.pace, new.pace)
    if old.default_kind != new.default_kind:
        lines.append(
            "a request that names no kind: "
            f"treated as {old.default_kind} -> {new.default_kind}"
        )

    return tuple(lines)


def describe_workspace(new: WorkspaceConfig) -> Iterator[str]:
    """Yield lines that describe a new workspace."""
    yield f"workspace {new.workspace} is new"
    yield f"may run on: {', '.join(new.allowed)}"
    for kind in new.kinds:
        yield f"{kind.name}: {describe_kind(kind)}"

    for rule in new.services:
        yield f"{describe_calls(rule)}: {describe_rule(rule)}"

    for key in new.keys:
        yield f"key {key.name} ({key.role}) is {describe_key(key)}"

    yield describe_data_centres(new)


def compare_versions(old: WorkspaceConfig, new: WorkspaceConfig) -> Iterator[str]:
    """Yield versions that were added to or removed from the allowed ones."""
    for version in new.allowed:
        if version not in old.allowed:
            yield f"{version}: refused -> allowed"

    for version in old.allowed:
        if version not in new.allowed:
            yield f"{version}: allowed -> refused, also for sessions pinned to it"


def compare_kinds(old: WorkspaceConfig, new: WorkspaceConfig) -> Iterator[str]:
    """Yield added, removed and changed kinds of work."""
    before = {kind.name: kind for kind in old.kinds}
    after = {kind.name: kind for kind in new.kinds}
    for name, kind in after.items():
        if name not in before:
            yield f"{name}: new; {describe_kind(kind)}"
            continue

        yield from compare_kind(before[name], kind)

    for name in before:
        if name not in after:
            yield f"{name}: no kind of work any more; requests that name it are refused"


def compare_kind(old: WorkKind, new: WorkKind) -> Iterator[str]:
    """Yield changes of one kind of work."""
    if old.quality_target != new.quality_target:
        change = f"{old.quality_target:g} -> {new.quality_target:g}"
        yield f"{new.name}: quality target {change}"

    if old.priority != new.priority:
        yield f"{new.name}: {describe_priority_change(old.priority, new.priority)}"

    if old.waits_for_whole != new.waits_for_whole:
        yield (
            f"{new.name}: {describe_waiting(old.waits_for_whole)} -> "
            f"{describe_waiting(new.waits_for_whole)}"
        )


def compare_rules(old: WorkspaceConfig, new: WorkspaceConfig) -> Iterator[str]:
    """Yield added, removed and changed rules of service calls, per HTTP method."""
    before = index_rules(old.services)
    after = index_rules(new.services)
    for name, rule in after.items():
        if name not in before:
            yield f"{name}: new; {describe_rule(rule)}"
            continue

        first = before[name]
        if first.repeatable != rule.repeatable:
            change = (
                f"{describe_repeatability(first)} -> {describe_repeatability(rule)}"
            )
            yield f"{name}: {change}"

        if first.priority != rule.priority:
            yield f"{name}: {describe_priority_change(first.priority, rule.priority)}"

    for name in before:
        if name not in after:
            yield f"{name}: no rule any more"


def compare_keys(old: WorkspaceConfig, new: WorkspaceConfig) -> Iterator[str]:
    """Yield added, removed and changed keys."""
    before = {key.name: key for key in old.keys}
    after = {key.name: key for key in new.keys}
    for name, key in after.items():
        first = before.get(name)
        if first is None:
            yield f"key {name} ({key.role}): new, {describe_key(key)}"
            continue

        if first.digest != key.digest:
            yield f"key {name}: replaced; the old one is refused"

        if first.role != key.role:
            yield f"key {name}: {first.role} -> {key.role}"

        if first.revoked != key.revoked:
            yield f"key {name}: {describe_key(first)} -> {describe_key(key)}"

    for name in before:
        if name not in after:
            yield f"key {name}: gone; it is refused"


def compare_data_centres(old: WorkspaceConfig, new: WorkspaceConfig) -> Iterator[str]:
    """Yield a line if the set of allowed data centres changed."""
    if set(old.data_centres) != set(new.data_centres):
        yield f"{describe_data_centres(old)} -> {describe_data_centres(new)}"


def compare_weights(old: Weighing, new: Weighing) -> Iterator[str]:
    """Yield changed weights as percentages of their sum, as only the ratio matters."""
    before = (old.cost, old.latency, old.exposure)
    after = (new.cost, new.latency, new.exposure)
    shares = [
        [round(value / sum(weights), 4) for value in weights]
        for weights in (before, after)
    ]
    if shares[0] == shares[1]:
        return

    for name, first, second in zip(
        ("cost", "latency", "exposure"), *shares, strict=False
    ):
        if first != second:
            yield f"weight of {name}: {first:.0%} -> {second:.0%}"


def compare_limits(old: Limits, new: Limits) -> Iterator[str]:
    """Yield changed limits."""
    rows = (
        ("requests a second", old.requests_per_second, new.requests_per_second),
        ("requests at the same time", old.max_in_flight, new.max_in_flight),
        ("longest wait in seconds", old.max_wait, new.max_wait),
        ("largest request body in bytes", old.max_body, new.max_body),
    )
    for name, first, second in rows:
        if first != second:
            yield f"{name}: {first:,.10g} -> {second:,.10g}"


def compare_paces(old: RolloutPace, new: RolloutPace) -> Iterator[str]:
    """Yield changes of the roll-out pace, which take effect with the next roll-out."""
    if old.stages != new.stages:
        change = f"{describe_stages(old)} -> {describe_stages(new)}"
        yield f"roll-out stages: {change}"

    rows = (
        ("unrated answers of a new version", old.max_unrated, new.max_unrated),
        ("chance of withdrawing a good version", old.false_alarm, new.false_alarm),
        ("loss of rating that makes a version bad", old.margin, new.margin),
    )
    for name, first, second in rows:
        if first != second:
            yield f"{name}: {first:g} -> {second:g}"


def index_rules(rules: Iterable[ServiceRule]) -> dict[str, ServiceRule]:
    """Return the rules keyed by method, service and path prefix."""
    return {
        f"{method} {rule.service}{rule.path_prefix}": rule
        for rule in rules
        for method in rule.methods
    }


def describe_calls(rule: ServiceRule) -> str:
    """Return the methods and path prefix that a rule applies to."""
    return f"{','.join(rule.methods)} {rule.service}{rule.path_prefix}"


def describe_kind(kind: WorkKind) -> str:
    """Return a summary of a kind of work."""
    waiting = describe_waiting(kind.waits_for_whole)
    target = f"quality target {kind.quality_target:g}"
    return f"{target}, {describe_priority(kind.priority)}, {waiting}"


def describe_rule(rule: ServiceRule) -> str:
    """Return a summary of a rule."""
    return f"{describe_repeatability(rule)}, {describe_priority(rule.priority)}"


def describe_repeatability(rule: ServiceRule) -> str:
    """Return whether a call may run more than once."""
    return "may be repeated" if rule.repeatable else "runs at most once"


def describe_waiting(waits_for_whole: bool) -> str:
    """Return whether callers get a complete or a streamed response."""
    return "waits for a whole answer" if waits_for_whole else "streams at once"


def describe_priority(priority: Priority) -> str:
    """Return the group, counted from 1, in which a priority is served."""
    return f"served in group {PRIORITY_ORDER.index(priority) + 1}"


def describe_priority_change(old: Priority, new: Priority) -> str:
    """Return a change of priority as a change of group."""
    first, second = PRIORITY_ORDER.index(old) + 1, PRIORITY_ORDER.index(new) + 1
    word = "earlier" if second < first else "later"
    return f"served {word}, group {first} -> {second}"


def describe_key(key: KeyHash) -> str:
    """Return whether a key is accepted or revoked."""
    return "revoked" if key.revoked else "accepted"


def describe_data_centres(config: WorkspaceConfig) -> str:
    """Return the data centres in which the work may run."""
    if not config.data_centres:
        return "runs in every data centre"

    return f"runs in {', '.join(sorted(config.data_centres))}"


def describe_stages(pace: RolloutPace) -> str:
    """Return the stages as percentages of new sessions."""
    return ", ".join(f"{stage * 100:g}%" for stage in pace.stages)
