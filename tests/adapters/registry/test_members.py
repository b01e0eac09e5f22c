"""Tests of the replicated group inside a registry process."""

from __future__ import annotations

import tempfile
import unittest
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any
from typing import cast
from unittest import mock

import msgspec

from tests.adapters.gateway.support import capture_log
from tests.routing.factories import make_document
from waxwingwell.adapters.registry import hub
from waxwingwell.adapters.registry.hub import connect_control
from waxwingwell.adapters.registry.members import REOPEN_SECONDS
from waxwingwell.adapters.registry.members import count_voters
from waxwingwell.adapters.registry.members import make_machine
from waxwingwell.adapters.registry.members import open_member
from waxwingwell.adapters.registry.members import tick_member
from waxwingwell.routing.messages import Publish
from waxwingwell.routing.reports import start_counting
from waxwingwell.routing.reports import sum_fleet
from waxwingwell.state.consensus.bootstrap import may_bootstrap
from waxwingwell.state.consensus.messages import JoinRequest

from .support import Connection
from .support import Peer
from .support import Registry
from .support import make_registry


if TYPE_CHECKING:
    from waxwingwell.state.consensus.replica import Replica
    from waxwingwell.state.group import Machine


LINKED = "127.0.0.2"
"""The control to which registries in these tests are linked; no seed."""
LOST_SEED = "127.0.0.9"


class VoterTest(unittest.TestCase):
    """The number of voters."""

    def test_a_majority_is_left_after_the_losses(self) -> None:
        for losses, voters in ((0, 5), (1, 5), (2, 5), (3, 7), (4, 9)):
            with self.subTest(losses=losses):
                self.assertEqual(count_voters(losses), voters)


class OpeningTest(unittest.TestCase):
    """A group that is opened, or opened anew in a running process."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def open_registry(self, *seeds: str, first_start: bool, folder: str) -> Registry:
        """Return a registry that has opened its group."""
        data_folder = self.folder / folder
        data_folder.mkdir()
        registry = make_registry(
            seeds=seeds, data_folder=data_folder, first_start=first_start
        )
        open_member(registry.context)
        self.addCleanup(close_store, registry)
        return registry

    def test_a_control_asks_all_linked_controls_to_join(self) -> None:
        """A control that is removed while it stands still must join again.

        It asked only the seeds of its settings. If none of them led, it never joined:
        the group had one spare member less, until two lost disks ended service.
        """
        for way in ("linked", "removed", "disk failed"):
            for first_start in (False, True):
                name = f"{way}, {first_start}"
                with self.subTest(name):
                    registry = self.open_registry(
                        LOST_SEED, first_start=first_start, folder=name
                    )
                    link(registry, LINKED)
                    if way != "linked":
                        reopen(registry, removed=way == "removed")

                    self.assertIn(LINKED, list_asked(registry))

    def test_only_seeds_found_the_group(self) -> None:
        """The system starts for the first time, and a control that is no seed connects.

        If its name sorted before those of the seeds, it would be the one to found the
        group, which it may not do. The group would then never be founded.
        """
        for first_start in (True, False):
            with self.subTest(first_start=first_start):
                registry = self.open_registry(
                    "127.0.0.1", first_start=first_start, folder=str(first_start)
                )
                link(registry, "127.0.0.0")
                tick(registry)
                replica = replica_of(registry)
                self.assertEqual(replica.names, ("127.0.0.1",))
                founded = bool(replica.membership.voters)
                self.assertEqual(founded, first_start)

    def test_an_erased_control_founds_no_second_group(self) -> None:
        """All seeds are removed and erased while the group goes on without them.

        Each is empty then. If they founded a group again, as at the first start, two
        groups would accept orders, and one of them would be lost.
        """
        for removed, founds in ((True, False), (False, True)):
            with self.subTest(removed=removed):
                registry = self.open_registry(
                    "127.0.0.1", LOST_SEED, first_start=True, folder=str(removed)
                )
                self.assertTrue(may_bootstrap(replica_of(registry)))
                reopen(registry, removed=removed)
                self.assertIs(may_bootstrap(replica_of(registry)), founds)

    def test_a_seed_asks_others_while_it_waits_to_found_the_group(self) -> None:
        """A seed loses its disk, and the other seeds are gone.

        It waits for their answers before it founds a group. Meanwhile a group of
        others may exist, which it must join.
        """
        registry = self.open_registry(
            "127.0.0.1", LOST_SEED, first_start=True, folder="seed"
        )
        self.assertTrue(may_bootstrap(replica_of(registry)))
        self.assertIn(LINKED, list_asked(registry))


class PublicationTest(unittest.TestCase):
    """Documents that a control applies."""

    def test_a_version_that_opens_all_routes_is_logged(self) -> None:
        """Guards against a list of workspaces that goes missing without a trace."""
        open_fields: dict[str, Any] = {"workspaces": (), "needs_key": False}
        empty_fields: dict[str, Any] = {"workspaces": ()}
        for name, former, fields, warned in (
            ("its workspaces are left out", {}, open_fields, True),
            ("its empty list is left out", empty_fields, open_fields, True),
            ("it had none", open_fields, open_fields, False),
            ("they stay", {}, {}, False),
            ("the last one goes", {}, empty_fields, False),
        ):
            with self.subTest(name):
                machine = make_machine(make_registry().context)
                apply_document(machine, 1, former)
                records = capture_log(partial(apply_document, machine, 2, fields))
                levels = {one["message"]: one["level"].name for one in records}
                self.assertEqual("WARNING" in levels.values(), warned)
                self.assertEqual("registry: All routes are open" in levels, warned)


def apply_document(machine: Machine, version: int, fields: dict[str, Any]) -> None:
    """Apply the publication of a document."""
    document = make_document(version=version, **fields)
    command = Publish(document=document, source=msgspec.json.encode(document))
    machine.apply(version, msgspec.msgpack.encode(command))


class CountingTest(unittest.TestCase):
    """What a control knows of the retries before its start."""

    def test_a_restart_with_the_settings_of_the_first_start(self) -> None:
        """Guards against a budget that opens anew for a setting that was kept."""
        with tempfile.TemporaryDirectory() as folder:
            for name, is_known in (("first start", True), ("restart", False)):
                with self.subTest(name):
                    registry = make_registry(
                        seeds=("127.0.0.1",),
                        data_folder=Path(folder),
                        first_start=True,
                    )
                    start_counting(registry.context.reports, 0.0)
                    open_member(registry.context)
                    tick(registry)
                    found = sum_fleet(registry.context.reports, 2.0).counted
                    self.assertIs(found is msgspec.UNSET, is_known)
                    close_store(registry)


def replica_of(registry: Registry) -> Replica:
    """Return the replica of an open registry."""
    group = registry.context.group
    assert group is not None
    return group.replica


def close_store(registry: Registry) -> None:
    """Close the data folder of a registry."""
    if registry.context.group is not None:
        registry.context.group.store.close()


def link(registry: Registry, name: str) -> None:
    """Give a registry a link to another control, and to no other."""
    registry.context.controls.clear()
    peer = cast("Any", Peer(Connection(name)))
    with mock.patch.object(hub, "open_link", return_value=peer):
        connect_control(registry.context, name)


def tick(registry: Registry) -> None:
    """Run the group's timers after every timeout has passed."""
    registry.clock.advance(REOPEN_SECONDS)
    tick_member(registry.context, registry.clock.seconds())


def reopen(registry: Registry, *, removed: bool) -> None:
    """Remove the member from its group, or fail its disk, and open it anew."""
    group = registry.context.group
    assert group is not None
    if removed:
        group.replica.expelled = True
    else:
        group.halted = "disk full"

    tick(registry)
    assert registry.context.group is None
    tick(registry)


def list_asked(registry: Registry) -> list[str]:
    """Return the linked controls that are asked to join at the next tick."""
    linked = cast("dict[str, Peer]", registry.context.controls)
    for peer in linked.values():
        peer.protocol.sent.clear()

    tick(registry)
    return [
        name
        for name, peer in linked.items()
        if any(isinstance(body, JoinRequest) for body in peer.protocol.sent)
    ]
