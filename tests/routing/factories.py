"""Factories of records for the routing tests."""

from __future__ import annotations

from typing import Any

from waxwingwell.routing.fleet import Announcement
from waxwingwell.routing.fleet import UpstreamState
from waxwingwell.routing.messages import RolloutState
from waxwingwell.routing.records import Document
from waxwingwell.routing.records import Route
from waxwingwell.routing.records import RouteKind
from waxwingwell.routing.records import Service
from waxwingwell.routing.records import Target
from waxwingwell.routing.records import Workspace


def make_announcement(upstream: str = "u1", **fields: Any) -> Announcement:
    """Return an announcement of a serving upstream."""
    defaults: dict[str, Any] = {
        "upstream": upstream,
        "service": "chat",
        "host": "127.0.0.1",
        "port": 9000 + sum(upstream.encode()),
        "data_centre": "north",
        "version": "v1",
        "slots": 4,
        "state": UpstreamState.SERVING,
        "incarnation": 1,
        "sequence": 1,
    }
    return Announcement(**{**defaults, **fields})


def make_route(**fields: Any) -> Route:
    """Return a route whose responses are streams."""
    defaults: dict[str, Any] = {
        "name": "r1",
        "host": "a.example",
        "prefix": "/chat/",
        "kind": RouteKind.STREAM,
        "targets": (Target("chat", 1),),
        "timeout": 10.0,
        "objective": 1.0,
        "max_attempts": 3,
        "resumable": True,
    }
    return Route(**{**defaults, **fields})


def make_document(**fields: Any) -> Document:
    """Return a document with one route, one service and one workspace."""
    defaults: dict[str, Any] = {
        "version": 1,
        "routes": (make_route(),),
        "services": (Service(name="chat", slots=4),),
        "workspaces": (Workspace(name="team", keys=("k1",)),),
    }
    return Document(**{**defaults, **fields})


def make_rollout(**fields: Any) -> RolloutState:
    """Return a roll-out in progress from v1 to v2."""
    defaults: dict[str, Any] = {
        "service": "chat",
        "target": "v2",
        "former": "v1",
        "duration": 20.0,
        "ordered_at": 100.0,
        "share": 0.0,
        "state": "in_progress",
    }
    return RolloutState(**{**defaults, **fields})
