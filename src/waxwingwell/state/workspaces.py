"""Changes of a workspace: its answers and the configuration derived from them."""

from __future__ import annotations

from dataclasses import fields
from dataclasses import replace
from typing import TYPE_CHECKING

from ..records import Finding
from .catalogue import WITHDRAWN_STATUSES


if TYPE_CHECKING:
    from ..messages import ApplyAnswers
    from ..records import WorkspaceConfig
    from .catalogue import ConfigTable


MAX_ANSWERS = 65_536
"""Maximum bytes of a workspace's answers."""


def check_answers(table: ConfigTable, change: ApplyAnswers) -> list[Finding]:
    """Return all validation findings for a workspace's new configuration."""
    config = change.config
    findings = _check_allowed(table, config)
    if not config.workspace:
        findings.append(Finding("workspace", "a workspace needs a name"))

    if len(change.answers) > MAX_ANSWERS:
        text = f"answers may take {MAX_ANSWERS} bytes"
        findings.append(Finding("answers", text))

    kinds = [kind.name for kind in config.kinds]
    findings += [
        Finding(f"kinds.{index}.name", f"the kind {name} is listed twice")
        for index, name in enumerate(kinds)
        if name in kinds[:index]
    ]
    if kinds and config.default_kind not in kinds:
        text = f"{config.default_kind} is none of the kinds {', '.join(kinds)}"
        findings.append(Finding("default_kind", text))

    return findings


def _check_allowed(table: ConfigTable, config: WorkspaceConfig) -> list[Finding]:
    """Return findings for the allowed versions.

    A withdrawn version may stay in the list of a workspace that already has it, because
    routing refuses it anyway; it can't be added to another workspace.
    """
    before = table.workspaces.get(config.workspace)
    previously_allowed = before.allowed if before is not None else ()
    findings = []
    for index, version in enumerate(config.allowed):
        spec = table.versions.get(version)
        if spec is None:
            text = f"{version} is not in the catalogue; register it first"
            findings.append(Finding(f"allowed.{index}", text))
            continue

        if spec.status in WITHDRAWN_STATUSES and version not in previously_allowed:
            text = f"{version} is {spec.status.value}; it takes no new work"
            findings.append(Finding(f"allowed.{index}", text))

    return findings


def store_answers(table: ConfigTable, change: ApplyAnswers) -> None:
    """Store the answers together with their configuration."""
    config = replace(change.config, revision=change.expected_revision + 1)
    table.answers[config.workspace] = change.answers
    table.workspaces[config.workspace] = config


def describe_workspace(table: ConfigTable, change: ApplyAnswers) -> str:
    """Return the fields in which the current configuration differs from a change."""
    current = table.workspaces.get(change.config.workspace)
    if current is None:
        return "no configuration"

    differing = [
        f"{item.name} is {getattr(current, item.name)!r}"
        for item in fields(current)
        if item.name not in ("workspace", "revision", "keys")
        and getattr(current, item.name) != getattr(change.config, item.name)
    ]
    if current.keys != change.config.keys:
        differing.append("keys differ")

    if not differing:
        return "the same configuration as the one asked for"

    return "; ".join(differing)
