"""What the leader remembers of the loads that it ordered."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from ...decisions.loading import Loading
from ...decisions.loading import WeightStore


@dataclass(slots=True)
class OrderBook:
    """What the leader remembers of loads under way; a new leader begins anew."""

    term: int = 0
    loading: Loading = field(default_factory=Loading)
    store: WeightStore = field(default_factory=WeightStore)
    busy: bool = False
