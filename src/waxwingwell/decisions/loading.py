"""Decide which upstreams should hold which versions, ahead of a roll-out's stages.

The result is desired state: an order lists every version that an upstream should hold
and is repeated until the upstream reports them. Requests are routed only to reported
versions. A stage that started before its weights are loaded would send its sessions
to the few holders, and if a whole fleet loaded at once, the most urgent load would
have to share the weight store's rate with all others.
"""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ..records import UpstreamId
from ..records import VersionId
from ..records import VersionStatus
from .holders import HolderTarget
from .holders import list_holder_targets
from .holders import list_live_engines


if TYPE_CHECKING:
    from .tables import Tables
    from .tables import UpstreamRow


MAX_VERSIONS = 4
"""Maximum number of versions that one upstream is ordered to hold."""
LOAD_TIMEOUT = 300.0
"""Seconds after which an ordered load that has not been reported is abandoned."""
MINUTE_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class WeightStore:
    """Limits of the weight store, as known to the operators."""

    loads_per_minute: float = 6.0
    max_concurrent: int = 2


@dataclass(slots=True)
class Loading:
    """State of the ordered loads; kept by the leader, empty for a new one."""

    ordered: dict[tuple[UpstreamId, VersionId], float] = field(default_factory=dict)
    """Time of the first order of each load that is not reported yet."""
    starts: list[float] = field(default_factory=list)
    """Start times of the loads of the last minute, oldest first."""
    timed_out: dict[tuple[UpstreamId, VersionId], float] = field(default_factory=dict)
    """Time of each timeout; for a while the load is attempted only elsewhere."""


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """The complete list of versions that one upstream should hold."""

    upstream: UpstreamId
    versions: tuple[VersionId, ...]
    fencing: int = 0
    """Fencing token, set by the leader that sends the order."""


def plan_loads(
    tables: Tables, loading: Loading, store: WeightStore, now: float
) -> list[LoadOrder]:
    """Return an order for each upstream whose versions differ from the desired ones.

    Call it on each tick; it starts new loads within the store's limits and repeats
    the orders that are not fulfilled yet.
    """
    rows = list_live_engines(tables, now)
    prune_loads(loading, rows, now)
    while can_start_load(loading, store, now):
        target = find_largest_shortfall(tables, loading, rows)
        if target is None:
            break

        row = pick_holder(loading, rows, target.version)
        if row is None:
            break

        loading.ordered[row.announcement.upstream, target.version] = now
        loading.starts.append(now)

    return make_orders(tables, loading, rows)


def prune_loads(loading: Loading, rows: list[UpstreamRow], now: float) -> None:
    """Drop loads that are reported or whose upstream is gone; time out late ones."""
    held = {row.announcement.upstream: row.announcement.versions for row in rows}
    for load_key, ordered_at in list(loading.ordered.items()):
        upstream, version = load_key
        if upstream not in held or version in held[upstream]:
            del loading.ordered[load_key]
        elif now - ordered_at > LOAD_TIMEOUT:
            del loading.ordered[load_key]
            loading.timed_out[load_key] = now

    for load_key, since in list(loading.timed_out.items()):
        if now - since > LOAD_TIMEOUT:
            del loading.timed_out[load_key]


def can_start_load(loading: Loading, store: WeightStore, now: float) -> bool:
    """Return whether the weight store's limits allow one more load now."""
    del loading.starts[: bisect_right(loading.starts, now - MINUTE_SECONDS)]
    if len(loading.ordered) >= store.max_concurrent:
        return False

    return len(loading.starts) + 1 <= store.loads_per_minute


def find_largest_shortfall(
    tables: Tables, loading: Loading, rows: list[UpstreamRow]
) -> HolderTarget | None:
    """Return the target that lacks the largest share of its holders, or None."""
    targets = [
        target
        for target in list_holder_targets(tables, loading.ordered, rows)
        if target.held < target.wanted
    ]
    if not targets:
        return None

    return min(
        targets, key=lambda target: (target.held / target.wanted, target.version)
    )


def pick_holder(
    loading: Loading, rows: list[UpstreamRow], version: VersionId
) -> UpstreamRow | None:
    """Return the upstream that should load the version next, or None.

    The data centre with the fewest holders goes first, then the upstream with the
    fewest versions. Each upstream loads one version at a time, since loading slows
    its responses.
    """
    busy = {upstream for upstream, _ in loading.ordered}
    holders_by_data_centre: dict[str, int] = {}
    for row in rows:
        name = row.announcement.upstream
        if version in row.announcement.versions or (name, version) in loading.ordered:
            location = row.announcement.data_centre
            holders_by_data_centre[location] = (
                holders_by_data_centre.get(location, 0) + 1
            )

    candidates = [
        row
        for row in rows
        if version not in row.announcement.versions
        and row.announcement.upstream not in busy
        and (row.announcement.upstream, version) not in loading.timed_out
        and len(row.announcement.versions) < MAX_VERSIONS
    ]
    return min(
        candidates,
        key=lambda row: (
            holders_by_data_centre.get(row.announcement.data_centre, 0),
            len(row.announcement.versions),
            row.announcement.upstream,
        ),
        default=None,
    )


def make_orders(
    tables: Tables, loading: Loading, rows: list[UpstreamRow]
) -> list[LoadOrder]:
    """Return the orders for upstreams whose desired and reported versions differ."""
    orders = []
    for row in rows:
        announcement = row.announcement
        kept = {
            version
            for version in announcement.versions
            if not should_unload(tables, version)
        }
        pending = {
            version
            for upstream, version in loading.ordered
            if upstream == announcement.upstream
        }
        desired = kept | pending
        if desired != set(announcement.versions):
            orders.append(LoadOrder(announcement.upstream, tuple(sorted(desired))))

    return orders


def should_unload(tables: Tables, version: VersionId) -> bool:
    """Return whether no upstream should hold the version any more.

    A version that ends gracefully stays loaded for its sessions. One missing from the
    catalogue stays too, since this copy may be older than the upstream's state.
    """
    spec = tables.versions.get(version)
    return spec is not None and spec.status is VersionStatus.WITHDRAWN
