"""Checks of a routing document; all findings are reported together."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from ..records import Finding


if TYPE_CHECKING:
    from collections.abc import Iterator

    from .records import Document
    from .records import Route


def find_faults(document: Document) -> tuple[Finding, ...]:
    """Return every reason for which the document can't be published."""
    return (
        *find_route_faults(document),
        *find_shared_places(document),
        *find_shared_keys(document),
    )


def find_route_faults(document: Document) -> Iterator[Finding]:
    """Check each route by itself."""
    services = {service.name for service in document.services}
    for place, route in enumerate(document.routes):
        where = f"routes[{place}] ({route.name})"
        yield from find_target_faults(route, services, where)
        if route.timeout <= 0:
            yield Finding(where, "the timeout must be above 0")

        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            yield Finding(where, "the path prefix must begin and end with a slash")


def find_target_faults(
    route: Route, services: set[str], where: str
) -> Iterator[Finding]:
    """Check where a route sends to."""
    for target in route.targets:
        if target.service not in services:
            yield Finding(where, f"service {target.service!r} is unknown")

        if target.weight < 0:
            yield Finding(where, f"weight {target.weight} is negative")

    if sum(target.weight for target in route.targets) <= 0:
        yield Finding(where, "the weights must add up to more than 0")


def find_shared_places(document: Document) -> Iterator[Finding]:
    """Find routes that stand at the same host and prefix."""
    places = Counter((route.host, route.prefix) for route in document.routes)
    for (host, prefix), count in places.items():
        if count > 1:
            yield Finding("routes", f"{count} routes share {host}{prefix}")


def find_shared_keys(document: Document) -> Iterator[Finding]:
    """Find keys that two workspaces hold, without showing the key."""
    holders: dict[str, str] = {}
    for place, workspace in enumerate(document.workspaces):
        for key in workspace.keys:
            holder = holders.setdefault(key, workspace.name)
            if holder != workspace.name:
                where = f"workspaces[{place}] ({workspace.name})"
                yield Finding(where, f"a key is also held by {holder}")
