"""Validation of routing documents; all findings are reported together."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from ..records import Finding
from .names import is_header_value


if TYPE_CHECKING:
    from collections.abc import Iterator

    from .records import Document
    from .records import Route


def find_document_problems(document: Document) -> tuple[Finding, ...]:
    """Return all findings that prevent the document's publication."""
    return (
        *check_routes(document),
        *find_duplicate_routes(document),
        *find_empty_keys(document),
        *find_duplicate_keys(document),
        *check_header_names(document),
        *check_limits(document),
    )


def check_routes(document: Document) -> Iterator[Finding]:
    """Yield findings on each route's targets, timeout and path prefix."""
    services = {service.name for service in document.services}
    for index, route in enumerate(document.routes):
        location = f"routes[{index}] ({route.name})"
        yield from check_targets(route, services, location)
        if route.timeout <= 0:
            yield Finding(location, "the timeout must be above 0")

        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            yield Finding(location, "the path prefix must begin and end with a slash")


def check_targets(route: Route, services: set[str], location: str) -> Iterator[Finding]:
    """Yield findings on the services and weights of a route's targets."""
    for target in route.targets:
        if target.service not in services:
            yield Finding(location, f"service {target.service!r} is unknown")

        if target.weight < 0:
            yield Finding(location, f"weight {target.weight} is negative")

    if sum(target.weight for target in route.targets) <= 0:
        yield Finding(location, "the weights must add up to more than 0")


def check_header_names(document: Document) -> Iterator[Finding]:
    """Yield findings on names that upstreams get in headers."""
    for index, workspace in enumerate(document.workspaces):
        if not is_header_value(workspace.name):
            place = f"workspaces[{index}] ({workspace.name!r})"
            yield Finding(place, "the name must suit a header")

    for index, route in enumerate(document.routes):
        for model in route.models:
            if not is_header_value(model):
                place = f"routes[{index}] ({route.name})"
                yield Finding(place, f"model {model!r} must suit a header")


def check_limits(document: Document) -> Iterator[Finding]:
    """Yield findings on limits with which no request could be served."""
    limits = document.limits
    for name, value in (
        ("header_bytes", limits.header_bytes),
        ("body_bytes", limits.body_bytes),
        ("header_timeout", limits.header_timeout),
        ("idle_timeout", limits.idle_timeout),
    ):
        if value <= 0:
            yield Finding(f"limits.{name}", f"{value} must be above 0")


def find_duplicate_routes(document: Document) -> Iterator[Finding]:
    """Yield a finding for each host and prefix that several routes use."""
    places = Counter((route.host, route.prefix) for route in document.routes)
    for (host, prefix), count in places.items():
        if count > 1:
            yield Finding("routes", f"{count} routes share {host}{prefix}")


def find_empty_keys(document: Document) -> Iterator[Finding]:
    """Yield a finding for each workspace with an empty key."""
    for index, workspace in enumerate(document.workspaces):
        if "" in workspace.keys:
            yield Finding(f"workspaces[{index}] ({workspace.name})", "a key is empty")


def find_duplicate_keys(document: Document) -> Iterator[Finding]:
    """Yield a finding for each key of two workspaces; findings don't hold the key."""
    owners: dict[str, int] = {}
    for index, workspace in enumerate(document.workspaces):
        for key in workspace.keys:
            owner = owners.setdefault(key, index)
            if owner != index:
                location = f"workspaces[{index}] ({workspace.name})"
                name = document.workspaces[owner].name
                yield Finding(location, f"a key is also held by {name}")
