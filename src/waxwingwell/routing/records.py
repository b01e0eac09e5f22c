"""The routing document that operators publish, as typed records.

A document is whole: each publication replaces the one before. Times are seconds.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec


class RouteKind(StrEnum):
    """What may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    """May run once at most for each request of a caller."""
    STREAM = "stream"


class Target(msgspec.Struct, frozen=True, array_like=True):
    """A service that a route sends to, and its share of the route's requests."""

    service: str
    weight: int


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Requests of one host whose path begins with ``prefix``."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    targets: tuple[Target, ...]
    timeout: float
    """Seconds after which a caller has its final answer."""
    objective: float
    """Seconds within which an answer has its full worth."""
    priority: int = 0
    """Rank among routes; 0 comes first."""
    max_attempts: int = 1
    """Upstreams that one request may be sent to."""
    anonymous: bool = False
    models: tuple[str, ...] = ()
    """Models to choose from, smallest first; none: the caller names the model."""
    resumable: bool = False


class Model(msgspec.Struct, frozen=True, array_like=True):
    """A model that a service's engines can serve."""

    name: str
    cost: float
    """Price of a thousand generated tokens."""


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """A service; ``memory_tokens`` is 0 where its upstreams are not model engines."""

    name: str
    health_path: str = ""
    max_connections: int = 0
    """Connections that one upstream accepts from all callers together; 0: unknown."""
    slots: int = 0
    memory_tokens: int = 0
    models: tuple[Model, ...] = ()


class Workspace(msgspec.Struct, frozen=True, kw_only=True):
    """A workspace and the keys that its callers present."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller may send, and how long it may take."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout: float = 5.0
    idle_timeout: float = 30.0


class Document(msgspec.Struct, frozen=True, kw_only=True):
    """Everything that an operator publishes at one version."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    limits: Limits = Limits()
