"""Control under failure: leaders killed, paused or stopped, disks lost, links dead."""

from __future__ import annotations

import signal
import threading
from typing import Any

from scripts.faults import CONTROLS
from scripts.faults import get_admin_view
from scripts.faults import get_execution_counts
from scripts.faults import make_register_command
from scripts.faults import post_command
from scripts.faults import read_log
from scripts.faults import resume_process
from scripts.faults import set_relays
from scripts.faults import suspend_process
from scripts.faults import wait_for_leader
from scripts.faults import wipe_control
from scripts.launcher import kill_process
from scripts.launcher import signal_process
from scripts.launcher import start_process
from scripts.launcher import wait_process
from scripts.launcher import wait_until
from scripts.topology import name_nodes

from .support import ENTRIES
from .support import RELAYED_ENTRY
from .support import Response
from .support import SystemCase
from .support import is_ready


DIRECT_ENTRY = "entry-2"


class ControlTest(SystemCase):
    """The tests' changes register versions that no workspace allows."""

    def register_version(self, name: str, expected: int = 0) -> Any:
        """Register a version; return the outcome of the change."""
        command = make_register_command(name, f"{name}-{expected}", expected)
        found: list[Any] = []

        def attempt() -> bool:
            for node in name_nodes("control", CONTROLS):
                status, outcome = post_command(self.system, node, command, 3.0)
                if status in (200, 409, 422):
                    found.append(outcome)
                    return True

            return False

        wait_until(attempt, f"the change of {name}")
        return found[0]

    def get_control_status(self, node: str) -> Any:
        """Return the status of a control process, or an empty dict."""
        return get_admin_view(self.system, node, "status") or {}

    def send_orders(
        self, done: threading.Event, entry: str, name: str
    ) -> list[Response]:
        """Send orders one after the other until ``done`` is set."""
        responses: list[Response] = []
        while not done.is_set():
            responses.append(self.send_order(entry, f"{name}-{entry}-{len(responses)}"))

        return responses

    def test_leader_killed_between_reservation_and_response(self) -> None:
        """The leader that recorded an order dies while the service processes it.

        Once another member leads, the service's response must reach the caller and the
        row must be settled, and a resend must get the same response without a run.
        """
        name = "leaderless"
        caller = self.start_caller(self.send_order, DIRECT_ENTRY, name)
        wait_until(
            lambda: get_execution_counts(self.system)["orders"].get(name, 0) > 0, name
        )
        kill_process(self.system, wait_for_leader(self.system))
        first = caller.result()
        self.assertEqual(first.status, 201)
        again = self.send_order(RELAYED_ENTRY, name)
        self.assertEqual((again.status, again.body), (201, first.body))
        self.assertEqual(get_execution_counts(self.system)["orders"][name], 1)

    def test_paused_leader_resumes(self) -> None:
        """The leader's process is suspended for longer than its lease, then resumes.

        Meanwhile another member leads and accepts a change. A change of the same
        revision was sent to the old leader while it was suspended. If the old leader
        accepted it, or granted leases on its outdated state, the accepted change would
        be undone.
        """
        leader = wait_for_leader(self.system)
        suspend_process(self.system, leader)
        rival = make_register_command("frozen", "rival", 0)
        late = self.pool.submit(post_command, self.system, leader, rival, 30.0)
        asked = self.pool.submit(get_admin_view, self.system, leader, "status", 30.0)
        wait_for_leader(self.system, other_than=leader)
        accepted = self.register_version("frozen")
        self.assertEqual(accepted["type"], "Accepted")
        resume_process(self.system, leader)
        self.assertFalse(asked.result()["leads"])
        status, outcome = late.result()
        self.assertIn(status, (409, 503), outcome)
        version = accepted["config_version"]
        wait_until(
            lambda: self.get_control_status(leader).get("config_version", 0) >= version,
            "the old leader to catch up",
        )
        self.assertEqual(self.register_version("frozen", expected=0)["revision"], 1)
        for node in name_nodes("control", CONTROLS):
            self.assertEqual(self.get_control_status(node)["breaches"], {})

    def test_member_without_its_disk_rejoins_as_learner_and_votes(self) -> None:
        """A control VM loses its disk, and a second one fails after the repair.

        The member that lost its disk must rejoin under a new id. Once promoted, it
        forms a majority with the leader, so changes are still accepted.
        """
        leader = wait_for_leader(self.system)
        nodes = [n for n in name_nodes("control", CONTROLS) if n != leader]
        lost, second = nodes
        before = set(self.get_control_status(leader)["voters"])
        wipe_control(self.system, lost)
        start_process(self.system, lost)

        def is_repaired() -> bool:
            status = self.get_control_status(wait_for_leader(self.system))
            voters = {item for item in status["voters"] if item.startswith(lost)}
            return bool(
                voters - before
                and not voters & before
                and len(status["voters"]) == CONTROLS
                and not status["learners"]
            )

        wait_until(is_repaired, f"{lost} to vote again")
        kill_process(self.system, second)
        wait_for_leader(self.system, other_than=second)
        self.assertEqual(self.register_version("repaired")["type"], "Accepted")
        known = get_admin_view(self.system, lost, "config")["versions"]
        self.assertIn("swift@1", [item["version"] for item in known])

    def test_isolated_entry_fails_closed_and_recovers(self) -> None:
        """An entry loses all connections to control, and a change is made meanwhile.

        Once its lease has expired, it must refuse requests as not run, because it can't
        know of the change. The change must take effect without the entry, which must
        apply the change before it admits requests again.
        """
        set_relays(self.system, RELAYED_ENTRY, silence=True, blackhole=True)
        accepted = self.register_version("cut-off")
        wait_until(
            lambda: not is_ready(self.system, RELAYED_ENTRY), "the lease to expire"
        )
        refused = self.send_order(RELAYED_ENTRY, "cut-off")
        self.assertEqual(refused.code, "configuration_lease_expired")
        self.assertEqual(refused.outcome, "not_run")
        self.assertEqual(self.send_order(DIRECT_ENTRY, "served").status, 201)
        version = accepted["config_version"]
        wait_until(lambda: self.is_in_force(version), "the change to be in force")
        set_relays(self.system, RELAYED_ENTRY, blackhole=False, cut=True)
        wait_until(
            lambda: is_ready(self.system, RELAYED_ENTRY), "the entry to be ready"
        )
        log = read_log(self.system, RELAYED_ENTRY)
        self.assertIn(f"Configuration {version} applied", log)
        self.assertEqual(self.send_order(RELAYED_ENTRY, "cut-off").status, 201)
        self.assertNotIn("served", get_execution_counts(self.system)["chats"])

    def is_in_force(self, version: int) -> bool:
        leader = wait_for_leader(self.system)
        path = f"in-force?config_version={version}"
        return bool((get_admin_view(self.system, leader, path) or {}).get("in_force"))

    def test_unresponsive_links_are_replaced(self) -> None:
        """The connections between an entry and control start to drop all data.

        This happens if a middlebox between them loses its state: neither end gets an
        error, and new connections work. An order that waits for control at that time
        must be recorded over a new connection.
        """
        set_relays(self.system, RELAYED_ENTRY, silence=True)
        self.assertEqual(self.send_order(RELAYED_ENTRY, "silent").status, 201)
        self.assertIn("Replaced the silent link", read_log(self.system, RELAYED_ENTRY))

    def test_planned_stop_of_the_leader(self) -> None:
        """The leader is stopped for an upgrade while orders arrive.

        It transfers leadership. No order may fail or run twice, and the process must
        exit with status 0.
        """
        done = threading.Event()
        self.addCleanup(done.set)
        callers = [
            self.pool.submit(self.send_orders, done, entry, "handed")
            for entry in ENTRIES
        ]
        leader = wait_for_leader(self.system)
        signal_process(self.system, leader, signal.SIGTERM)
        self.assertEqual(wait_process(self.system, leader), 0)
        wait_for_leader(self.system, other_than=leader)
        done.set()
        responses = [response for caller in callers for response in caller.result()]
        self.assertEqual({response.status for response in responses}, {201})
        runs = get_execution_counts(self.system)["orders"]
        handed = {name: n for name, n in runs.items() if name.startswith("handed")}
        self.assertEqual(set(handed.values()), {1})
