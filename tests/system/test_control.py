"""Control under failure: leaders killed, frozen, stopped; disks lost; links silent."""

from __future__ import annotations

import signal
import threading
from typing import Any

from scripts.faults import CONTROLS
from scripts.faults import ask_admin
from scripts.faults import find_leader
from scripts.faults import freeze
from scripts.faults import make_version
from scripts.faults import post_command
from scripts.faults import read_counts
from scripts.faults import read_log
from scripts.faults import set_relays
from scripts.faults import thaw
from scripts.faults import wipe_member
from scripts.launcher import kill_process
from scripts.launcher import signal_process
from scripts.launcher import start_process
from scripts.launcher import wait_process
from scripts.launcher import wait_until
from scripts.topology import name_nodes

from .support import ENTRIES
from .support import RELAYED
from .support import Reply
from .support import SystemCase
from .support import is_ready


OTHER = "entry-2"


class ControlTest(SystemCase):
    """Changes made here register versions that no workspace allows."""

    def change(self, name: str, expected: int = 0) -> Any:
        """Register a version; return the change's outcome."""
        command = make_version(name, f"{name}-{expected}", expected)
        found: list[Any] = []

        def attempt() -> bool:
            for node in name_nodes("control", CONTROLS):
                status, outcome = post_command(self.system, node, command, 3.0)
                if status in (200, 409, 422):
                    found.append(outcome)
                    return True

            return False

        wait_until(attempt, f"change {name}")
        return found[0]

    def status(self, node: str) -> Any:
        """Return the status of a control process, or an empty one."""
        return ask_admin(self.system, node, "status") or {}

    def order_on(self, done: threading.Event, entry: str, name: str) -> list[Reply]:
        """Send orders one after the other until told to end."""
        replies: list[Reply] = []
        while not done.is_set():
            replies.append(self.order(entry, f"{name}-{entry}-{len(replies)}"))

        return replies

    def test_leader_killed_between_reservation_and_answer(self) -> None:
        """An order is at the service when the leader that recorded it dies.

        The service's answer must reach the caller once another member leads, the row
        must be settled there, and a resend must get the same answer without a run.
        """
        name = "leaderless"
        caller = self.begin(self.order, OTHER, name)
        wait_until(lambda: read_counts(self.system)["orders"].get(name, 0) > 0, name)
        kill_process(self.system, find_leader(self.system))
        first = caller.result()
        self.assertEqual(first.status, 201)
        again = self.order(RELAYED, name)
        self.assertEqual((again.status, again.body), (201, first.body))
        self.assertEqual(read_counts(self.system)["orders"][name], 1)

    def test_frozen_leader_wakes(self) -> None:
        """The leader's machine stops for longer than its lease, and goes on.

        Meanwhile another member leads and accepts a change. The old leader holds a
        change on the same revision that was sent to it while it stood still. If it
        took that, or granted leases on what it knows, the accepted change would be
        undone.
        """
        leader = find_leader(self.system)
        freeze(self.system, leader)
        rival = make_version("frozen", "rival", 0)
        late = self.pool.submit(post_command, self.system, leader, rival, 30.0)
        asked = self.pool.submit(ask_admin, self.system, leader, "status", 30.0)
        find_leader(self.system, besides=leader)
        accepted = self.change("frozen")
        self.assertEqual(accepted["type"], "Accepted")
        thaw(self.system, leader)
        self.assertFalse(asked.result()["leads"])
        status, outcome = late.result()
        self.assertIn(status, (409, 503), outcome)
        version = accepted["config_version"]
        wait_until(
            lambda: self.status(leader).get("config_version", 0) >= version,
            "the old leader catches up",
        )
        self.assertEqual(self.change("frozen", expected=0)["revision"], 1)
        for node in name_nodes("control", CONTROLS):
            self.assertEqual(self.status(node)["breaches"], {})

    def test_lost_disk_comes_back_as_learner_and_votes(self) -> None:
        """A control VM loses its disk, and a second one fails after the repair.

        The member that lost its disk must come back under a new id. Once promoted it
        counts: with the leader it is a majority, and changes go on.
        """
        leader = find_leader(self.system)
        nodes = [n for n in name_nodes("control", CONTROLS) if n != leader]
        lost, second = nodes
        before = set(self.status(leader)["voters"])
        wipe_member(self.system, lost)
        start_process(self.system, lost)

        def is_repaired() -> bool:
            status = self.status(find_leader(self.system))
            voters = {item for item in status["voters"] if item.startswith(lost)}
            return bool(
                voters - before
                and not voters & before
                and len(status["voters"]) == CONTROLS
                and not status["learners"]
            )

        wait_until(is_repaired, f"{lost} votes again")
        kill_process(self.system, second)
        find_leader(self.system, besides=second)
        self.assertEqual(self.change("repaired")["type"], "Accepted")
        known = ask_admin(self.system, lost, "config")["versions"]
        self.assertIn("swift@1", [item["version"] for item in known])

    def test_cut_off_entry_fails_closed_and_comes_back(self) -> None:
        """An entry loses every way to control, and a change is made meanwhile.

        Once its lease has run out it must refuse, as not run: it can't know of the
        change. The change must come in force without it, and the entry must have the
        change before it admits again.
        """
        set_relays(self.system, RELAYED, silence=True, blackhole=True)
        accepted = self.change("cut-off")
        wait_until(lambda: not is_ready(self.system, RELAYED), "the lease runs out")
        refused = self.order(RELAYED, "cut-off")
        self.assertEqual(refused.code, "configuration_lease_expired")
        self.assertEqual(refused.outcome, "not_run")
        self.assertEqual(self.order(OTHER, "served").status, 201)
        version = accepted["config_version"]
        wait_until(lambda: self.is_in_force(version), "in force without the entry")
        set_relays(self.system, RELAYED, blackhole=False, cut=True)
        wait_until(lambda: is_ready(self.system, RELAYED), "the entry comes back")
        log = read_log(self.system, RELAYED)
        self.assertIn(f"Configuration {version} taken", log)
        self.assertEqual(self.order(RELAYED, "cut-off").status, 201)
        self.assertNotIn("served", read_counts(self.system)["chats"])

    def is_in_force(self, version: int) -> bool:
        leader = find_leader(self.system)
        path = f"in-force?config_version={version}"
        return bool((ask_admin(self.system, leader, path) or {}).get("in_force"))

    def test_silent_links_are_replaced(self) -> None:
        """Something between entry and control loses track of their connections.

        Neither end gets an error; bytes stop, and new connections work. An order
        that waits for control just then must be recorded over a new connection.
        """
        set_relays(self.system, RELAYED, silence=True)
        self.assertEqual(self.order(RELAYED, "silent").status, 201)
        self.assertIn("Replaced the silent link", read_log(self.system, RELAYED))

    def test_planned_stop_of_the_leader(self) -> None:
        """The leader is stopped for an upgrade while orders come in.

        It hands its office over. No order may fail or run twice, and it ends well.
        """
        done = threading.Event()
        self.addCleanup(done.set)
        callers = [
            self.pool.submit(self.order_on, done, entry, "handed") for entry in ENTRIES
        ]
        leader = find_leader(self.system)
        signal_process(self.system, leader, signal.SIGTERM)
        self.assertEqual(wait_process(self.system, leader), 0)
        find_leader(self.system, besides=leader)
        done.set()
        replies = [reply for caller in callers for reply in caller.result()]
        self.assertEqual({reply.status for reply in replies}, {201})
        runs = read_counts(self.system)["orders"]
        handed = {name: n for name, n in runs.items() if name.startswith("handed")}
        self.assertEqual(set(handed.values()), {1})
