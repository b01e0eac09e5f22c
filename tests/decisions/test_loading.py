"""Loading of versions ahead of roll-out stages, within the weight store's limits."""

from __future__ import annotations

import unittest
from dataclasses import replace
from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import strategies as st

from waxwingwell.decisions.holders import is_stage_loaded
from waxwingwell.decisions.loading import LOAD_TIMEOUT
from waxwingwell.decisions.loading import Loading
from waxwingwell.decisions.loading import LoadOrder
from waxwingwell.decisions.loading import WeightStore
from waxwingwell.decisions.loading import plan_loads
from waxwingwell.records import Rollout
from waxwingwell.records import RolloutPace
from waxwingwell.records import RolloutStatus
from waxwingwell.records import VersionId
from waxwingwell.records import VersionSpec
from waxwingwell.records import VersionStatus

from .factories import VERSION
from .factories import make_row
from .factories import make_tables


if TYPE_CHECKING:
    from waxwingwell.decisions.tables import Tables


NEW = VersionId("fitter@2")
PACE = RolloutPace(stages=(0.05, 0.5, 1.0))
STORE = WeightStore(loads_per_minute=3.0, max_concurrent=2)


def make_fleet(
    stage: int = 0, status: VersionStatus = VersionStatus.CANDIDATE
) -> Tables:
    places = ("bole", "kazanchis", "cmc")
    rows = [make_row(f"u{n}", data_centre=places[n // 2]) for n in range(6)]
    tables = make_tables(*rows)
    tables.versions = {
        VERSION: VersionSpec(VERSION, "fitter", 1.0, 1.0),
        NEW: VersionSpec(NEW, "fitter", 1.0, 1.0, status=status),
    }
    tables.rollouts["fitter"] = Rollout("fitter", NEW, VERSION, PACE, stage=stage)
    return tables


def apply_orders(tables: Tables, orders: list[LoadOrder]) -> None:
    """Make the upstreams report the versions that they were ordered to hold."""
    for order in orders:
        row = tables.upstreams[order.upstream]
        row.announcement = replace(row.announcement, versions=order.versions)


class TestLoading(unittest.TestCase):
    def test_loads_ahead_of_the_stage_across_data_centres(self) -> None:
        """The holders of the next stage are loaded during the current one.

        If a stage with half of the sessions started while one engine holds the
        version, its sessions would queue there until the others have loaded it.
        """
        tables = make_fleet()
        loading = Loading()
        self.assertFalse(is_stage_loaded(tables, tables.rollouts["fitter"], 1, 0.0))
        for minute in range(4):
            apply_orders(tables, plan_loads(tables, loading, STORE, 60.5 * minute))

        holders = [
            row.announcement.data_centre
            for row in tables.upstreams.values()
            if NEW in row.announcement.versions
        ]
        self.assertEqual(sorted(holders), ["bole", "cmc", "kazanchis"])
        self.assertTrue(is_stage_loaded(tables, tables.rollouts["fitter"], 1, 0.0))
        self.assertFalse(is_stage_loaded(tables, tables.rollouts["fitter"], 2, 0.0))

    def test_follows_a_paused_or_ended_rollout(self) -> None:
        cases = {
            "paused": (RolloutStatus.PAUSED, VersionStatus.CANDIDATE, 2),
            "rolled back": (RolloutStatus.ROLLED_BACK, VersionStatus.WITHDRAWN, 0),
            "completed": (RolloutStatus.COMPLETED, VersionStatus.ACTIVE, 6),
        }
        for name, (status, standing, holders) in cases.items():
            with self.subTest(name):
                tables = make_fleet(status=standing)
                rollout = replace(tables.rollouts["fitter"], status=status)
                tables.rollouts["fitter"] = rollout
                loading = Loading()
                for minute in range(6):
                    apply_orders(
                        tables, plan_loads(tables, loading, STORE, 61.0 * minute)
                    )

                held = sum(
                    NEW in row.announcement.versions
                    for row in tables.upstreams.values()
                )
                self.assertEqual(held, holders)

    def test_unloads_only_withdrawn_versions(self) -> None:
        cases = {
            VersionStatus.ENDING: True,
            VersionStatus.ACTIVE: True,
            VersionStatus.WITHDRAWN: False,
        }
        for status, stays in cases.items():
            with self.subTest(status):
                tables = make_fleet()
                tables.rollouts.clear()
                spec = tables.versions[VERSION]
                tables.versions = {VERSION: replace(spec, status=status)}
                orders = plan_loads(tables, Loading(), STORE, 1.0)
                self.assertEqual(not orders, stays)

    def test_abandons_a_load_that_never_ends(self) -> None:
        """An engine accepts the order and never reports the version.

        Without a timeout it would occupy one of the store's concurrent loads
        permanently.
        """
        tables = make_fleet()
        loading = Loading()
        first = plan_loads(tables, loading, STORE, 0.0)
        again = plan_loads(tables, loading, STORE, LOAD_TIMEOUT / 2)
        self.assertEqual(first, again)
        late = plan_loads(tables, loading, STORE, LOAD_TIMEOUT + 1)
        names = {order.upstream for order in first}
        self.assertTrue(late)
        self.assertFalse(names & {order.upstream for order in late})

    @given(
        st.lists(st.tuples(st.floats(0.0, 40.0), st.booleans()), max_size=60),
        st.integers(0, 2),
    )
    def test_stays_within_the_stores_limits(
        self, steps: list[tuple[float, bool]], stage: int
    ) -> None:
        tables = make_fleet(stage=stage)
        loading = Loading()
        seen: dict[tuple[str, str], float] = {}
        now = 0.0
        for pause, fulfilled in steps:
            now += pause
            orders = plan_loads(tables, loading, STORE, now)
            for upstream, version in loading.ordered:
                seen.setdefault((upstream, version), now)

            self.assertLessEqual(len(loading.ordered), STORE.max_concurrent)
            recent = [at for at in seen.values() if at > now - 60.0]
            self.assertLessEqual(len(recent), STORE.loads_per_minute)
            for order in orders:
                self.assertIn(VERSION, order.versions)

            if fulfilled:
                apply_orders(tables, orders)
