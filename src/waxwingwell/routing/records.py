"""Typed records of the routing document that operators publish.

A document is complete: each publication replaces the previous one. Times are in
seconds.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec


class RouteKind(StrEnum):
    """How requests of a route may be retried."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    """Each request of a caller may run at most once."""
    STREAM = "stream"


class Target(msgspec.Struct, frozen=True, array_like=True):
    """A service of a route, and its weight among the route's services."""

    service: str
    weight: int


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the requests to one host whose path begins with ``prefix``."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    targets: tuple[Target, ...]
    timeout: float
    """Seconds within which a caller gets a final response."""
    objective: float
    """Seconds within which a response has its full value."""
    pause: float = 0.0
    """Longest time in seconds between two events of a stream with its full value; 0 if
    there is no limit."""
    priority: int = 0
    """Rank among routes; 0 is the highest priority."""
    max_attempts: int = 1
    """Largest number of attempts that may have run; attempts that an upstream refused
    to run or that were never connected don't count."""
    anonymous: bool = False
    models: tuple[str, ...] = ()
    """Models to choose from, smallest first; if empty, the caller names the model."""
    resumable: bool = False


class Model(msgspec.Struct, frozen=True, array_like=True):
    """A model that a service's engines can serve."""

    name: str
    cost: float
    """Price per thousand generated tokens."""


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """A service; ``memory_tokens`` is 0 if its upstreams are no model engines."""

    name: str
    health_path: str = ""
    max_connections: int = 0
    """Connections that one upstream accepts from all callers; 0 if unknown."""
    warm_up_seconds: float = 0.0
    """Seconds for which an upstream is cold after its start during traffic."""
    warm_up_rate: float = 0.0
    """Requests per second that a cold upstream tolerates; 0 if there is no limit."""
    slots: int = 0
    memory_tokens: int = 0
    models: tuple[Model, ...] = ()


class Workspace(msgspec.Struct, frozen=True, kw_only=True):
    """A workspace and its callers' API keys."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on the size and duration of callers' requests."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout: float = 5.0
    idle_timeout: float = 30.0


class Document(msgspec.Struct, frozen=True, kw_only=True):
    """The complete routing configuration at one version."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    limits: Limits = Limits()
    needs_key: bool = True
    """Whether requests need the key of a workspace even if there is none left, but for
    those on anonymous routes."""
