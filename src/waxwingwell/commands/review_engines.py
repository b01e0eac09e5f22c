"""The engines by speed in ``waxwingwell review``, and who uses them."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass
from dataclasses import field

from .output import print_table


MAX_ENGINES = 40
"""Maximum rows of the table of engines."""
MAX_ROUTES = 3
"""Maximum routes that are named for each engine."""


@dataclass(slots=True)
class EngineUse:
    """Speed of one engine and the requests that it got."""

    factor: float | None = None
    """The last one; None if the engine is as fast as the others, or not known."""
    slowest: float = 1.0
    changed_at: float = -math.inf
    """Time of the last change; controls log each change, in any order."""
    routes: Counter[str] = field(default_factory=Counter)
    """Attempts by route."""
    gateways: Counter[str] = field(default_factory=Counter)
    """Attempts by gateway."""


def count_placement(
    engines: dict[str, EngineUse], upstream: str, route: str, gateway: str
) -> None:
    """Count an attempt at an engine."""
    use = engines.setdefault(upstream, EngineUse())
    use.routes[route] += 1
    use.gateways[gateway] += 1


def record_speed(
    engines: dict[str, EngineUse], upstream: str, factor: float | None, at: float
) -> None:
    """Record an engine's factor, unless a later one is known."""
    use = engines.setdefault(upstream, EngineUse())
    use.slowest = max(use.slowest, factor or 1.0)
    if at >= use.changed_at:
        use.factor = factor
        use.changed_at = at


def show_engines(engines: dict[str, EngineUse]) -> None:
    """Print the engines, the slowest first, unless none differs from the others."""
    if all(one.changed_at == -math.inf for one in engines.values()):
        return

    ordered = sorted(engines.items(), key=rank_engine)
    headers = ["engine", "factor", "slowest", "sends", "gateways", "routes"]
    print("\nEngines by speed (factor: times the median engine's duration):")
    rows = [[name, *make_cells(one)] for name, one in ordered[:MAX_ENGINES]]
    print_table(headers, rows)
    if len(ordered) > MAX_ENGINES:
        print(f"and {len(ordered) - MAX_ENGINES} more")


def rank_engine(item: tuple[str, EngineUse]) -> tuple[float, float, int, str]:
    """Return the key by which engines are ordered."""
    name, use = item
    return -(use.factor or 1.0), -use.slowest, -use.routes.total(), name


def make_cells(use: EngineUse) -> list[object]:
    """Return an engine's cells of the table."""
    named = use.routes.most_common(MAX_ROUTES)
    routes = ", ".join(f"{route} {count}" for route, count in named)
    return [
        f"{use.factor or 1.0:.2f}",
        f"{use.slowest:.2f}",
        use.routes.total(),
        len(use.gateways),
        routes,
    ]
