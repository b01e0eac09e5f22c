"""Factories for tables and work."""

from __future__ import annotations

from typing import Any

from waxwingwell.decisions.tables import Tables
from waxwingwell.decisions.tables import UpstreamRow
from waxwingwell.decisions.tables import Work
from waxwingwell.records import Announcement
from waxwingwell.records import Limits
from waxwingwell.records import LoadReport
from waxwingwell.records import Priority
from waxwingwell.records import UpstreamId
from waxwingwell.records import UpstreamKind
from waxwingwell.records import VersionId
from waxwingwell.records import WorkKind
from waxwingwell.records import WorkspaceConfig
from waxwingwell.records import WorkspaceId


VERSION = VersionId("fitter@1")
WORKSPACE = WorkspaceId("bole-studio")
NO_LOAD = LoadReport(tokens_per_second=50.0, prefill_per_second=8000.0)


def make_row(name: str, **changes: Any) -> UpstreamRow:
    """Return a live upstream; ``changes`` override fields of row and announcement."""
    announced: dict[str, Any] = {
        "upstream": UpstreamId(name),
        "incarnation": 1,
        "sequence": 1,
        "kind": UpstreamKind.MODEL,
        "data_centre": "bole",
        "host": "10.0.0.1",
        "port": 8000,
        "lease": 5.0,
        "versions": (VERSION,),
        "capacity": 8,
        "load": NO_LOAD,
        "leaving": False,
    }
    row: dict[str, Any] = {"expires_at": 1000.0, "heard_at": 0.0}
    for key, value in changes.items():
        (announced if key in announced or key == "service" else row)[key] = value

    return UpstreamRow(announcement=Announcement(**announced), **row)


def make_config(
    name: WorkspaceId = WORKSPACE,
    limits: Limits | None = None,
    data_centres: tuple[str, ...] = (),
) -> WorkspaceConfig:
    """Return a configuration with only limits and data centres set."""
    return WorkspaceConfig(
        workspace=name,
        revision=1,
        allowed=(VERSION,),
        kinds=(),
        limits=limits or Limits(),
        data_centres=data_centres,
    )


def make_tables(
    *rows: UpstreamRow, configs: tuple[WorkspaceConfig, ...] = ()
) -> Tables:
    """Return tables with these upstreams and workspaces."""
    tables = Tables(one_way_seconds={"bole": 0.0005, "cmc": 0.004})
    for config in configs or (make_config(),):
        tables.workspaces[config.workspace] = config

    for row in rows:
        tables.upstreams[row.announcement.upstream] = row

    return tables


def make_work(name: str = "r1", **changes: Any) -> Work:
    """Return a question of 800 prompt tokens; ``changes`` override any field."""
    priority = changes.pop("priority", Priority.QUESTION)
    kind = WorkKind(str(priority), priority, 0.8)
    fields: dict[str, Any] = {
        "request": name,
        "workspace": WORKSPACE,
        "kind": kind,
        "priority": priority,
        "prompt_tokens": 800,
    }
    return Work(**(fields | changes))
