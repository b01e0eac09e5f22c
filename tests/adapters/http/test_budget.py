"""Who is given up first when memory or connections run short."""

from __future__ import annotations

import unittest
from dataclasses import dataclass
from dataclasses import field

from waxwingwell.adapters.http.budget import CONNECTION_BYTES
from waxwingwell.adapters.http.budget import OWN_BYTES
from waxwingwell.adapters.http.budget import PROGRESS_BYTES
from waxwingwell.adapters.http.budget import REQUEST_BYTES
from waxwingwell.adapters.http.budget import STALL_SECONDS
from waxwingwell.adapters.http.budget import Budget
from waxwingwell.adapters.http.budget import Holding
from waxwingwell.adapters.http.budget import Shortage
from waxwingwell.adapters.http.budget import Standing
from waxwingwell.adapters.http.budget import add_bytes
from waxwingwell.adapters.http.budget import admit_connection
from waxwingwell.adapters.http.budget import close_holding
from waxwingwell.adapters.http.budget import count_used
from waxwingwell.adapters.http.budget import make_room
from waxwingwell.adapters.http.budget import open_holding
from waxwingwell.adapters.http.budget import record_moved
from waxwingwell.adapters.http.budget import record_progress


MEMORY = 1_000_000
NOW = 100.0


@dataclass(frozen=True, slots=True)
class Peer:
    """A connection at the time of a shortage."""

    name: str
    size: int
    silent: float
    """Seconds without progress."""
    standing: Standing = Standing.SENDING


@dataclass(slots=True)
class Process:
    """A process whose connections are peers."""

    budget: Budget
    given_up: list[str] = field(default_factory=list)
    holdings: dict[str, Holding] = field(default_factory=dict)

    def open(self, peer: Peer) -> Holding:
        """Open a peer's connection."""

        def give_up(_: Shortage) -> None:
            self.given_up.append(peer.name)
            close_holding(holding)

        holding = open_holding(
            self.budget, lambda: peer.standing, give_up, NOW - peer.silent
        )
        add_bytes(holding, peer.size)
        self.holdings[peer.name] = holding
        return holding


def open_process(*peers: Peer, connections: int = 0) -> Process:
    """Return a process with the connections of peers, the oldest first."""
    process = Process(Budget(memory=MEMORY, max_connections=connections))
    for peer in sorted(peers, key=lambda one: -one.silent):
        process.open(peer)

    return process


class MemoryTest(unittest.TestCase):
    """A process that can't hold more."""

    def test_who_is_given_up(self) -> None:
        """Guards against ordinary callers that pay for those that get nowhere."""
        large = Peer("large", 850_000, 2.0)
        small = Peer("small", 10_000, 4.0)
        for name, peers, expected in (
            ("the most wasteful", (large, small), ["large"]),
            ("moving", (Peer("moving", 950_000, 0.0), small), ["small"]),
            (
                "waiting for this system",
                (Peer("waiting", 950_000, 9.0, Standing.WAITING), small),
                ["small"],
            ),
            (
                "a reader before an idle connection",
                (
                    Peer("reader", 950_000, 3.0, Standing.READING),
                    Peer("idle", 0, 30.0, Standing.IDLE),
                ),
                ["reader"],
            ),
            (
                "longer before a little larger",
                (Peer("longer", 450_000, 4.0), Peer("larger", 500_000, 1.5)),
                ["longer"],
            ),
        ):
            with self.subTest(name):
                process = open_process(*peers)
                ordinary = process.open(Peer("ordinary", 50_000, 0.0))
                make_room(ordinary, NOW)
                self.assertEqual(process.given_up, expected)

    def test_small_requests_fit_where_large_ones_do_not(self) -> None:
        """Guards against a crowd that leaves no room for an ordinary request."""
        for size, expected in ((1_000, True), (20_000, True), (60_000, False)):
            with self.subTest(size=size):
                moving = Peer("moving", 870_000, 0.0)
                process = open_process(moving)
                newcomer = process.open(Peer("newcomer", size, 0.0))
                self.assertIs(make_room(newcomer, NOW), expected)

    def test_a_single_large_request_fits(self) -> None:
        """Guards against a bound that refuses what the limits allow."""
        process = open_process()
        holding = process.open(Peer("sole", 0, 0.0))
        self.assertTrue(make_room(holding, NOW, int(0.75 * MEMORY)))

    def test_an_unknown_memory_is_no_bound(self) -> None:
        process = Process(Budget())
        holding = process.open(Peer("sole", 10**12, 9.0))
        self.assertTrue(make_room(holding, NOW))

    def test_few_bytes_at_a_time_are_no_progress(self) -> None:
        """Guards against a trickle that holds its memory for ever."""
        for count, expected in ((1, True), (PROGRESS_BYTES, False)):
            with self.subTest(count=count):
                process = open_process()
                trickle = process.open(Peer("trickle", 900_000, STALL_SECONDS))
                record_moved(trickle, count, NOW)
                ordinary = process.open(Peer("ordinary", 50_000, 0.0))
                make_room(ordinary, NOW)
                self.assertIs("trickle" in process.given_up, expected)

    def test_what_is_counted(self) -> None:
        """Guards against memory that no count includes, or that two do."""
        budget = Budget()
        process = Process(budget)
        holdings = [process.open(Peer(str(number), 5, 0.0)) for number in range(1_000)]
        budget.requests = 100
        overhead = 1_000 * CONNECTION_BYTES + 100 * REQUEST_BYTES - OWN_BYTES
        self.assertEqual(count_used(budget), 5_000 + overhead)
        budget.requests = 0
        for holding in holdings:
            close_holding(holding)
            close_holding(holding)
            add_bytes(holding, 7)

        self.assertEqual(count_used(budget), 0)


class ConnectionTest(unittest.TestCase):
    """A process that can't open more connections."""

    def test_who_gives_way(self) -> None:
        """Guards against a new caller that is turned away for silent connections."""
        idle = Peer("idle", 0, 5.0, Standing.IDLE)
        sending = Peer("sending", 10, 9.0)
        serving = Peer("serving", 10, 20.0, Standing.WAITING)
        reading = Peer("reading", 10, 30.0, Standing.READING)
        newer = Peer("newer", 0, 1.0, Standing.IDLE)
        for name, peers, expected in (
            ("idle before sending", (idle, sending), ["idle"]),
            ("the longest silent one", (newer, idle), ["idle"]),
            ("sending before serving", (sending, serving), ["sending"]),
            ("only requests in progress", (serving, reading), []),
        ):
            with self.subTest(name):
                process = open_process(*peers, connections=2)
                admitted = admit_connection(process.budget, NOW)
                self.assertEqual(process.given_up, expected)
                self.assertIs(admitted, bool(expected))

    def test_activity_counts(self) -> None:
        first = Peer("first", 0, 5.0, Standing.IDLE)
        second = Peer("second", 0, 4.0, Standing.IDLE)
        process = open_process(first, second, connections=2)
        record_progress(process.holdings["first"], NOW)
        admit_connection(process.budget, NOW)
        self.assertEqual(process.given_up, ["second"])


if __name__ == "__main__":
    unittest.main()
