"""Randomised run: upstreams come, leave and die; entries hear of it in any order."""

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
from waxwingwell.state.membership import expire_upstreams
from waxwingwell.state.membership import list_spread
from waxwingwell.state.membership import mark_left
from waxwingwell.state.membership import take_announcement
from waxwingwell.state.membership import take_spread

from ..test_membership import announce
from .support import Run
from .support import RunTestCase


NAMES = tuple(UpstreamId(name) for name in ("engine-1", "orders-1"))
LEASE = 6.0
NUMBERS = st.integers(0, 2)
"""Entries by number."""
Rank = tuple[int, bool, int]


@dataclass
class Relay:
    """Announcements on their way from one entry to another."""

    to: int
    sent_at: float
    message: SpreadAnnouncements


@dataclass
class World:
    """Upstreams, entries with their tables, and all messages on the way."""

    time: float = 100.0
    last: dict[UpstreamId, Announcement] = field(
        default_factory=lambda: {
            name: announce(1, 0, upstream=name, lease=LEASE) for name in NAMES
        }
    )
    entries: list[Tables] = field(default_factory=lambda: [Tables() for _ in range(3)])
    direct: list[Announcement] = field(default_factory=list)
    relays: list[Relay] = field(default_factory=list)
    heard: dict[tuple[UpstreamId, int, int], float] = field(default_factory=dict)
    """When an announcement last reached any entry from the upstream itself."""
    left: list[dict[UpstreamId, int]] = field(
        default_factory=lambda: [{} for _ in range(3)]
    )
    """By entry: the incarnation that it heard leaving."""
    ranks: list[dict[UpstreamId, Rank]] = field(
        default_factory=lambda: [{} for _ in range(3)]
    )


class MembershipRun(Run):
    """Direct and relayed announcements may be late, doubled and out of order."""

    @initialize()
    def begin(self) -> None:
        self.world = World()

    @rule(step=st.sampled_from((0.1, 1.0, 2.5, 6.0)))
    def pass_time(self, step: float) -> None:
        self.world.time += step
        for tables in self.world.entries:
            expire_upstreams(tables, self.world.time)

    @rule(name=st.sampled_from(NAMES), leaving=st.booleans())
    def announce_again(self, name: UpstreamId, leaving: bool) -> None:
        world = self.world
        last = world.last[name]
        said = replace(
            last, sequence=last.sequence + 1, leaving=leaving or last.leaving
        )
        world.last[name] = said
        world.direct.append(said)

    @rule(name=st.sampled_from(NAMES))
    def restart_upstream(self, name: UpstreamId) -> None:
        world = self.world
        last = world.last[name]
        incarnation = last.incarnation + 1
        said = replace(last, incarnation=incarnation, sequence=0, leaving=False)
        world.last[name] = said
        world.direct.append(said)

    @precondition(lambda self: self.world.direct)
    @rule(data=st.data(), number=NUMBERS, again=st.booleans())
    def reach_entry(self, data: st.DataObject, number: int, again: bool) -> None:
        world = self.world
        place = data.draw(st.integers(0, len(world.direct) - 1))
        said = world.direct[place]
        if not again:
            del world.direct[place]

        world.heard[(said.upstream, said.incarnation, said.sequence)] = world.time
        take_announcement(world.entries[number], said, 0.0, world.time)
        self.note_left(number, said)

    def note_left(self, number: int, said: Announcement) -> None:
        """Note what an entry was told, whether or not it took it in."""
        if said.leaving:
            left = self.world.left[number]
            before = left.get(said.upstream, 0)
            left[said.upstream] = max(before, said.incarnation)

    @rule(source=NUMBERS, to=NUMBERS)
    def send_relay(self, source: int, to: int) -> None:
        world = self.world
        spread = list_spread(world.entries[source], 0.0, world.time)
        if source != to and spread.announcements:
            world.relays.append(Relay(to, world.time, spread))

    @precondition(lambda self: self.world.relays)
    @rule(data=st.data(), again=st.booleans())
    def deliver_relay(self, data: st.DataObject, again: bool) -> None:
        world = self.world
        place = data.draw(st.integers(0, len(world.relays) - 1))
        relay = world.relays[place]
        if not again:
            del world.relays[place]

        delay = world.time - relay.sent_at
        take_spread(world.entries[relay.to], relay.message, delay, world.time)
        for said in relay.message.announcements:
            self.note_left(relay.to, said)

    @rule(name=st.sampled_from(NAMES), number=NUMBERS)
    def mark_upstream_left(self, name: UpstreamId, number: int) -> None:
        world = self.world
        row = world.entries[number].upstreams.get(name)
        if mark_left(world.entries[number], name, world.time) and row is not None:
            self.note_left(number, row.announcement)

    @invariant()
    def one_that_left_stays_away(self) -> None:
        for tables, left in zip(*self.get_views(), strict=True):
            for name, incarnation in left.items():
                row = tables.upstreams.get(name)
                if row is not None and not row.left:
                    assert row.announcement.incarnation > incarnation, name

    @invariant()
    def leases_count_from_the_upstream_itself(self) -> None:
        world = self.get_world()
        for tables in world.entries:
            for name, row in tables.upstreams.items():
                said = row.announcement
                if row.left:
                    continue

                heard = world.heard[(name, said.incarnation, said.sequence)]
                assert row.expires_at <= heard + LEASE + 1e-6, "a relay extended it"
                assert row.expires_at > world.time, "expired and still in use"

    @invariant()
    def ranks_only_rise(self) -> None:
        world = self.get_world()
        for tables, ranks in zip(world.entries, world.ranks, strict=True):
            for name, row in tables.upstreams.items():
                said = row.announcement
                rank = (said.incarnation, said.leaving, said.sequence)
                assert rank >= ranks.get(name, rank), "an older one was taken in"
                ranks[name] = rank

    def get_world(self) -> World:
        return self.world if hasattr(self, "world") else World()

    def get_views(self) -> tuple[list[Tables], list[dict[UpstreamId, int]]]:
        """Return the entries' tables and what each entry heard leaving."""
        return self.get_world().entries, self.get_world().left


class MembershipRunTest(RunTestCase):
    def test_run(self) -> None:
        """An engine that left, or died, gets new work from one entry or another.

        Order: any. Cause: announcements that are late, doubled, reordered or from an
        old incarnation, heard directly or through other entries.
        """
        self.run_machine(MembershipRun)
