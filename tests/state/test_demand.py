"""Tests of the workspace demand that entries report to each other."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from waxwingwell.decisions.tables import Tables
from waxwingwell.decisions.tables import WorkspaceDemand
from waxwingwell.state.demand import DEMAND_TIMEOUT
from waxwingwell.state.demand import SENDER_RETENTION
from waxwingwell.state.demand import DemandTable
from waxwingwell.state.demand import apply_demand
from waxwingwell.state.demand import make_demand
from waxwingwell.state.demand import update_total_demand

from .commands import BOLE
from .commands import CMC
from .commands import DEMO


if TYPE_CHECKING:
    from waxwingwell.messages import SpreadDemand


def make_message(in_flight: int, sequence: int, incarnation: int = 1) -> SpreadDemand:
    """Return another entry's demand."""
    tables = Tables(demand={DEMO: WorkspaceDemand(in_flight=in_flight, rate=2.0)})
    return make_demand(tables, entry=CMC, incarnation=incarnation, sequence=sequence)


class DemandTest(unittest.TestCase):
    def test_newest_message_of_each_entry_counts(self) -> None:
        table, tables = DemandTable(), Tables()
        messages = (
            make_message(5, 2),
            make_message(9, 1),
            make_message(1, 1, incarnation=2),
            make_message(8, 3),
        )
        accepted = [apply_demand(table, tables, message, 1.0) for message in messages]
        self.assertEqual(accepted, [True, False, True, False])
        demand = tables.demand[DEMO]
        self.assertEqual(
            (demand.other_entries_in_flight, demand.other_entries_rate), (1, 2.0)
        )

    def test_idle_entry_stops_counting(self) -> None:
        table, tables = DemandTable(), Tables()
        apply_demand(table, tables, make_message(5, 1), 1.0)
        update_total_demand(table, tables, 1.0 + DEMAND_TIMEOUT)
        self.assertEqual(tables.demand[DEMO].other_entries_in_flight, 0)
        self.assertFalse(apply_demand(table, tables, make_message(5, 1), 2.0))
        update_total_demand(table, tables, 1.0 + SENDER_RETENTION)
        self.assertFalse(table.rows)

    def test_own_demand_leaves_out_idle_workspaces(self) -> None:
        tables = Tables(demand={DEMO: WorkspaceDemand(other_entries_in_flight=4)})
        message = make_demand(tables, entry=BOLE, incarnation=1, sequence=1)
        self.assertEqual(message.workspaces, ())
