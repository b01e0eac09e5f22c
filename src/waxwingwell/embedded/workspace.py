"""The demo workspace, its keys and its answers."""

from __future__ import annotations

from ..records import Priority
from ..records import ServiceRule
from ..records import VersionId
from ..records import WorkKind
from ..records import WorkspaceConfig
from ..records import WorkspaceId


WORKSPACE = "demo"
DEMO_KEY = "demo-key"
"""Accepted by the embedded role only, which listens on loopback only."""
OPERATOR_KEY = "demo-operator-key"
"""Of the administration API; accepted by the embedded role only."""


def make_demo_answers() -> tuple[bytes, WorkspaceConfig]:
    """Return the demo's answers and the configuration generated from them."""
    config = WorkspaceConfig(
        workspace=WorkspaceId(WORKSPACE),
        revision=1,
        allowed=tuple(
            VersionId(name) for name in ("swift@1", "swift@2", "heron@1", "heron@2")
        ),
        kinds=(
            WorkKind("question", Priority.QUESTION, 0.7),
            WorkKind("report", Priority.REPORT, 0.85, waits_for_whole=True),
        ),
        services=(
            ServiceRule("bookings", "/", ("GET",), repeatable=True),
            ServiceRule("bookings", "/", ("POST",), repeatable=False),
        ),
    )
    return b"{}", config
