"""Which of a route's models a request is sent to."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from .records import Route


ANY_MODEL = "*"
"""What a caller names who leaves the choice to us."""
PREFERRED_SIZE = -1


def choose_model(route: Route, wanted: str) -> str:
    """Return the model to name, or the empty string if the caller's choice stands."""
    if not route.models or wanted != ANY_MODEL:
        return ""

    return route.models[PREFERRED_SIZE]
