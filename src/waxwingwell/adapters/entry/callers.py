"""Authentication of callers: digests of API keys, mapped to workspaces."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from ...keys import BEARER
from ...keys import hash_key
from ...records import Role
from ...records import WorkspaceConfig
from ...records import WorkspaceId
from .replies import Problem


@dataclass(slots=True)
class CallerKeys:
    """Index from a key's digest to its workspace, rebuilt on each change."""

    workspaces: dict[str, WorkspaceId] = field(default_factory=dict)
    extra: dict[str, WorkspaceId] = field(default_factory=dict)
    """Keys that this process accepts besides the configured ones (embedded role)."""


def index_keys(keys: CallerKeys, configs: dict[WorkspaceId, WorkspaceConfig]) -> None:
    """Rebuild the index from the caller keys of all workspaces, except revoked ones."""
    found = dict(keys.extra)
    for config in configs.values():
        for key in config.keys:
            if key.role == Role.CALLER and not key.revoked:
                found[key.digest] = config.workspace

    keys.workspaces = found


def find_workspace(keys: CallerKeys, authorization: str) -> WorkspaceId:
    """Return the workspace of a caller; ``Problem`` 401 without a valid key."""
    key = authorization.removeprefix(BEARER).strip()
    if not authorization.startswith(BEARER) or not key:
        raise Problem(
            status=401,
            code="missing_key",
            message="Authorization: a key is needed, as 'Bearer KEY'",
        )

    workspace = keys.workspaces.get(hash_key(key))
    if workspace is None:
        raise Problem(
            status=401, code="invalid_api_key", message="Authorization: unknown key"
        )

    return workspace
