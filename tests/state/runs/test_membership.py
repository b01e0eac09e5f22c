"""Randomised run of membership: upstreams join, leave and crash; reordered relays."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from waxwingwell.decisions.tables import Tables
from waxwingwell.messages import SpreadAnnouncements
from waxwingwell.records import Announcement
from waxwingwell.records import UpstreamId
from waxwingwell.state.membership import apply_announcement
from waxwingwell.state.membership import apply_relayed_announcements
from waxwingwell.state.membership import expire_upstreams
from waxwingwell.state.membership import make_relay_message
from waxwingwell.state.membership import mark_left

from ..test_membership import announce
from .support import Run
from .support import RunTestCase


NAMES = tuple(UpstreamId(name) for name in ("engine-1", "orders-1"))
LEASE = 6.0
ENTRY_NUMBERS = st.integers(0, 2)
"""Index of an entry."""
Rank = tuple[int, bool, int]


@dataclass
class Relay:
    """Announcements in transit from one entry to another."""

    destination: int
    sent_at: float
    message: SpreadAnnouncements


@dataclass
class Simulation:
    """Upstreams, the tables of entries, and all messages in transit."""

    time: float = 100.0
    last: dict[UpstreamId, Announcement] = field(
        default_factory=lambda: {
            name: announce(1, 0, upstream=name, lease=LEASE) for name in NAMES
        }
    )
    entries: list[Tables] = field(default_factory=lambda: [Tables() for _ in range(3)])
    direct: list[Announcement] = field(default_factory=list)
    relays: list[Relay] = field(default_factory=list)
    received: dict[tuple[UpstreamId, int, int], float] = field(default_factory=dict)
    """When an announcement last reached any entry directly from the upstream."""
    left: list[dict[UpstreamId, int]] = field(
        default_factory=lambda: [{} for _ in range(3)]
    )
    """By entry, the incarnations that it received a leaving announcement of."""
    ranks: list[dict[UpstreamId, Rank]] = field(
        default_factory=lambda: [{} for _ in range(3)]
    )


class MembershipRun(Run):
    """Direct and relayed announcements may be late, duplicated and reordered."""

    @initialize()
    def initialise(self) -> None:
        self.simulation = Simulation()

    @rule(step=st.sampled_from((0.1, 1.0, 2.5, 6.0)))
    def advance_time(self, step: float) -> None:
        self.simulation.time += step
        for tables in self.simulation.entries:
            expire_upstreams(tables, self.simulation.time)

    @rule(name=st.sampled_from(NAMES), leaving=st.booleans())
    def announce_upstream(self, name: UpstreamId, leaving: bool) -> None:
        simulation = self.simulation
        last = simulation.last[name]
        announced = replace(
            last, sequence=last.sequence + 1, leaving=leaving or last.leaving
        )
        simulation.last[name] = announced
        simulation.direct.append(announced)

    @rule(name=st.sampled_from(NAMES))
    def restart_upstream_process(self, name: UpstreamId) -> None:
        simulation = self.simulation
        last = simulation.last[name]
        incarnation = last.incarnation + 1
        announced = replace(last, incarnation=incarnation, sequence=0, leaving=False)
        simulation.last[name] = announced
        simulation.direct.append(announced)

    @precondition(lambda self: self.simulation.direct)
    @rule(data=st.data(), number=ENTRY_NUMBERS, duplicate=st.booleans())
    def deliver_announcement(
        self, data: st.DataObject, number: int, duplicate: bool
    ) -> None:
        simulation = self.simulation
        index = data.draw(st.integers(0, len(simulation.direct) - 1))
        announced = simulation.direct[index]
        if not duplicate:
            del simulation.direct[index]

        simulation.received[
            (announced.upstream, announced.incarnation, announced.sequence)
        ] = simulation.time
        apply_announcement(simulation.entries[number], announced, 0.0, simulation.time)
        self.record_left(number, announced)

    def record_left(self, number: int, announced: Announcement) -> None:
        """Record a leaving announcement that reached an entry, applied or not."""
        if announced.leaving:
            left = self.simulation.left[number]
            before = left.get(announced.upstream, 0)
            left[announced.upstream] = max(before, announced.incarnation)

    @rule(source=ENTRY_NUMBERS, destination=ENTRY_NUMBERS)
    def send_relay(self, source: int, destination: int) -> None:
        simulation = self.simulation
        message = make_relay_message(simulation.entries[source], 0.0, simulation.time)
        if source != destination and message.announcements:
            simulation.relays.append(Relay(destination, simulation.time, message))

    @precondition(lambda self: self.simulation.relays)
    @rule(data=st.data(), duplicate=st.booleans())
    def deliver_relay(self, data: st.DataObject, duplicate: bool) -> None:
        simulation = self.simulation
        index = data.draw(st.integers(0, len(simulation.relays) - 1))
        relay = simulation.relays[index]
        if not duplicate:
            del simulation.relays[index]

        delay = simulation.time - relay.sent_at
        apply_relayed_announcements(
            simulation.entries[relay.destination], relay.message, delay, simulation.time
        )
        for announced in relay.message.announcements:
            self.record_left(relay.destination, announced)

    @rule(name=st.sampled_from(NAMES), number=ENTRY_NUMBERS)
    def mark_upstream_left(self, name: UpstreamId, number: int) -> None:
        simulation = self.simulation
        row = simulation.entries[number].upstreams.get(name)
        if (
            mark_left(simulation.entries[number], name, simulation.time)
            and row is not None
        ):
            self.record_left(number, row.announcement)

    @invariant()
    def upstreams_that_left_do_not_return(self) -> None:
        for tables, left in zip(*self.get_views(), strict=True):
            for name, incarnation in left.items():
                row = tables.upstreams.get(name)
                if row is not None and not row.left:
                    assert row.announcement.incarnation > incarnation, name

    @invariant()
    def leases_count_from_the_announcement(self) -> None:
        simulation = self.get_simulation()
        for tables in simulation.entries:
            for name, row in tables.upstreams.items():
                announced = row.announcement
                if row.left:
                    continue

                received = simulation.received[
                    (name, announced.incarnation, announced.sequence)
                ]
                assert row.expires_at <= received + LEASE + 1e-6, (
                    "a relay extended the lease"
                )
                assert row.expires_at > simulation.time, "expired but still in use"

    @invariant()
    def ranks_never_decrease(self) -> None:
        simulation = self.get_simulation()
        for tables, ranks in zip(simulation.entries, simulation.ranks, strict=True):
            for name, row in tables.upstreams.items():
                announced = row.announcement
                rank = (announced.incarnation, announced.leaving, announced.sequence)
                assert rank >= ranks.get(name, rank), (
                    "an older announcement was applied"
                )
                ranks[name] = rank

    def get_simulation(self) -> Simulation:
        return self.simulation if hasattr(self, "simulation") else Simulation()

    def get_views(self) -> tuple[list[Tables], list[dict[UpstreamId, int]]]:
        """Return the entries' tables and the leaving incarnations each one received."""
        return self.get_simulation().entries, self.get_simulation().left


class MembershipRunTest(RunTestCase):
    def test_run(self) -> None:
        """No entry sends new work to an engine that left or crashed.

        Announcements are late, duplicated, reordered or from an old incarnation, and
        are received directly or through other entries, in any order.
        """
        self.run_machine(MembershipRun)
