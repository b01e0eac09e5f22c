"""The leader's record of the loads that it ordered."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from ...decisions.loading import Loading
from ...decisions.loading import WeightStore


@dataclass(slots=True)
class OrderBook:
    """The leader's state of loads in progress; a new leader starts without any."""

    term: int = 0
    loading: Loading = field(default_factory=Loading)
    store: WeightStore = field(default_factory=WeightStore)
    busy: bool = False
