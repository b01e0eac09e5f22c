"""Lookup of the route and the workspace of a request."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from .records import Document
from .records import Route
from .records import Service
from .records import Workspace


@dataclass(frozen=True, slots=True)
class DocumentIndex:
    """A document with indexes of its routes, workspaces and services."""

    document: Document
    routes: dict[str, dict[str, Route]] = field(default_factory=dict)
    """By host, then by path prefix."""
    workspaces: dict[str, Workspace] = field(default_factory=dict)
    """By key."""
    services: dict[str, Service] = field(default_factory=dict)


def index_document(document: Document) -> DocumentIndex:
    """Return the index of a document that has passed validation."""
    index = DocumentIndex(document)
    for route in document.routes:
        index.routes.setdefault(route.host, {})[route.prefix] = route

    for workspace in document.workspaces:
        index.workspaces.update(dict.fromkeys(workspace.keys, workspace))

    index.services.update({service.name: service for service in document.services})
    return index


def find_route(index: DocumentIndex, host: str, target: str) -> Route | None:
    """Return the host's route with the longest prefix of the target's path."""
    routes = index.routes.get(host)
    if routes is None:
        return None

    path = target.partition("?")[0]
    end = path.rfind("/")
    while end >= 0:
        route = routes.get(path[: end + 1])
        if route is not None:
            return route

        end = path.rfind("/", 0, end)

    return None


def must_have_key(index: DocumentIndex, route: Route) -> bool:
    """Return whether requests on a route need the key of a workspace."""
    document = index.document
    return not route.anonymous and (document.needs_key or bool(document.workspaces))


def find_workspace(index: DocumentIndex, key: str) -> Workspace | None:
    """Return the workspace that holds a key.

    Nobody holds an empty one, though documents of earlier releases may list it.
    """
    return index.workspaces.get(key) if key else None
