"""Tests of the messages between controls and gateways."""

from __future__ import annotations

import unittest
from types import SimpleNamespace
from typing import Any
from typing import cast
from unittest import mock

from tests.routing.factories import make_announcement
from tests.routing.factories import make_document
from waxwingwell.adapters.registry import hub
from waxwingwell.adapters.registry.api import announce
from waxwingwell.adapters.registry.api import withdraw
from waxwingwell.adapters.registry.hub import handle_cast
from waxwingwell.adapters.registry.hub import handle_connection
from waxwingwell.adapters.registry.hub import run_sharing
from waxwingwell.adapters.registry.hub import share_heartbeats
from waxwingwell.routing.fleet import UpstreamState
from waxwingwell.routing.messages import GatewayReport
from waxwingwell.routing.messages import ShareHeartbeats
from waxwingwell.routing.messages import ShareMembers
from waxwingwell.routing.messages import ShareNews
from waxwingwell.routing.records import Service
from waxwingwell.state.consensus.records import Membership

from .support import make_registry


def find_announced(sent: list[Any]) -> list[str]:
    """Return the upstreams announced in the sent messages."""
    return [
        one.upstream
        for body in sent
        if isinstance(body, ShareNews)
        for one in body.news
    ]


class ConnectionTest(unittest.TestCase):
    """Messages sent to a process that has just connected."""

    def test_a_new_connection_receives_all_upstreams(self) -> None:
        """A restarted control has lost its table of upstreams.

        The others announced each upstream only when it last changed. Without a full
        copy the control would know only upstreams whose heartbeats reach it directly,
        and its gateways would take all others for dead and refuse requests.
        """
        for remote in ("gateway-1", "127.0.0.2"):
            with self.subTest(remote=remote):
                registry = make_registry()
                announce(registry.context, make_announcement("u1"))
                connection = registry.accept(remote)
                handle_connection(registry.context, connection)
                self.assertEqual(find_announced(connection.sent), ["u1"])


class AnnouncementTest(unittest.TestCase):
    """Announcements are forwarded once to all gateways and controls."""

    def test_changes_go_to_gateways_and_controls(self) -> None:
        registry = make_registry()
        gateway = registry.accept("gateway-1")
        handle_connection(registry.context, gateway)
        control = cast("Any", registry.context.controls["127.0.0.2"]).protocol
        for name, step in (
            ("new", lambda: announce(registry.context, make_announcement("u1"))),
            ("leaving", lambda: withdraw(registry.context, "u1", 1)),
        ):
            with self.subTest(name):
                before = (
                    len(find_announced(gateway.sent)),
                    len(find_announced(control.sent)),
                )
                step()
                after = (
                    len(find_announced(gateway.sent)),
                    len(find_announced(control.sent)),
                )
                self.assertEqual(after, (before[0] + 1, before[1] + 1))

    def test_another_writer_takes_no_upstream_to_an_unknown_service(self) -> None:
        """Guards against a heartbeat that takes a living upstream away for good."""
        for name, service, document, taken in (
            ("unknown service", "other", make_document(), False),
            (
                "known service",
                "other",
                make_document(services=(Service(name="chat"), Service(name="other"))),
                True,
            ),
            ("no document yet", "other", None, True),
            ("its own, dropped from the document", "desk", make_document(), True),
        ):
            with self.subTest(name):
                registry = make_registry()
                fleet = registry.context.fleet
                first = "desk" if service == "desk" else "chat"
                announce(registry.context, make_announcement("u1", service=first))
                registry.context.state.document = document
                later = make_announcement("u1", service=service, incarnation=2)
                announce(registry.context, later)
                held = fleet.upstreams["u1"].announcement
                self.assertEqual(held.service, service if taken else "chat")
                self.assertEqual(held.incarnation, 2 if taken else 1)
                own = make_announcement("u1", service=first, sequence=2)
                announce(registry.context, own)
                held = fleet.upstreams["u1"].announcement
                self.assertEqual(held.sequence, 1 if taken else 2)

    def test_a_heartbeat_without_changes_is_not_forwarded_at_once(self) -> None:
        registry = make_registry()
        gateway = registry.accept("gateway-1")
        handle_connection(registry.context, gateway)
        announce(registry.context, make_announcement("u1"))
        sent = len(gateway.sent)
        announce(registry.context, make_announcement("u1", sequence=2))
        self.assertEqual(len(gateway.sent), sent)
        handle_cast(
            registry.context,
            "gateway-1",
            GatewayReport(gateway="gateway-1", use=(), evidence=()),
        )
        share_heartbeats(registry.context)
        self.assertEqual(gateway.sent[-1], ShareHeartbeats(heard=(("u1", 1, 2),)))

    def test_an_announcement_dropped_by_a_full_link_is_sent_again(self) -> None:
        """An upstream deregisters while the link to a slow gateway is full.

        The deregistration is acknowledged but its announcement is dropped. Without a
        resend the gateway sends requests there until heartbeats are missed.
        """
        for remote in ("gateway-1", "127.0.0.2"):
            with self.subTest(remote=remote):
                registry = make_registry()
                announce(registry.context, make_announcement("u1"))
                connection = registry.accept(remote)
                handle_connection(registry.context, connection)
                link: Any = SimpleNamespace(protocol=connection, stopped=False)
                if remote == "127.0.0.2":
                    registry.context.controls = {remote: link}

                connection.sent.clear()
                connection.at_capacity = True
                withdraw(registry.context, "u1", None)
                run_sharing(registry.context, registry.clock.seconds())
                self.assertEqual(find_announced(connection.sent), [])
                connection.at_capacity = False
                run_sharing(registry.context, registry.clock.seconds())
                run_sharing(registry.context, registry.clock.seconds())
                self.assertEqual(find_announced(connection.sent), ["u1"])
                [shared] = [one for one in connection.sent if type(one) is ShareNews]
                self.assertIs(shared.news[0].state, UpstreamState.GONE)

    def test_a_deregistration_of_an_unknown_upstream(self) -> None:
        """A control that has just restarted receives a deregistration.

        With an incarnation it can be forwarded to the others. Without one the upstream
        must ask another control, so the request is not acknowledged.
        """
        for incarnation, known in ((5, True), (None, False)):
            with self.subTest(incarnation=incarnation):
                registry = make_registry()
                self.assertIs(withdraw(registry.context, "u9", incarnation), known)
                held = registry.context.fleet.upstreams.get("u9")
                state = held.announcement.state if held else None
                self.assertEqual(state, UpstreamState.GONE if known else None)


class MemberTest(unittest.TestCase):
    """The controls that a control connects to."""

    def test_members_on_disk_are_connected(self) -> None:
        """All controls restart with settings whose seeds no longer exist.

        Each knows the members from its disk. If none connected to another, no leader
        could ever be elected.
        """
        registry = make_registry()
        membership = Membership(
            voters=("127.0.0.1~1", "127.0.0.2~1", "127.0.0.3~1"),
            learners=("127.0.0.4~1",),
            removed=("127.0.0.5~1",),
        )
        replica = SimpleNamespace(membership=membership)
        registry.context.group = cast("Any", SimpleNamespace(replica=replica))
        connected: list[str] = []
        with mock.patch.object(
            hub, "connect_control", lambda _, name: connected.append(name)
        ):
            hub.follow_members(registry.context)

        expected = ["127.0.0.1", "127.0.0.2", "127.0.0.3", "127.0.0.4"]
        self.assertEqual(sorted(connected), expected)

    def test_a_removed_control_that_is_connected_keeps_its_link(self) -> None:
        """A removed control waits to join again, and learns of the members by its link.

        Without the link it would never hear of a member that joined meanwhile, and
        could not join if that one leads.
        """
        for connected in (True, False):
            with self.subTest(connected=connected):
                registry = make_registry()
                membership = Membership(
                    voters=("127.0.0.1~1",), removed=("127.0.0.2~1",)
                )
                replica = SimpleNamespace(membership=membership)
                registry.context.group = cast("Any", SimpleNamespace(replica=replica))
                if connected:
                    registry.accept("127.0.0.2")

                with mock.patch.object(hub, "close_link") as close_link:
                    hub.follow_members(registry.context)

                self.assertIs("127.0.0.2" in registry.context.controls, connected)
                self.assertIs(close_link.called, not connected)

    def test_a_control_that_connects_learns_of_the_members(self) -> None:
        """A control that knows only one other one could never reach the leader."""
        registry = make_registry()
        membership = Membership(voters=("127.0.0.1~1", "127.0.0.2~1", "127.0.0.3~1"))
        replica = SimpleNamespace(membership=membership)
        registry.context.group = cast("Any", SimpleNamespace(replica=replica))
        connection = registry.accept("127.0.0.2")
        handle_connection(registry.context, connection)
        [shared] = [one for one in connection.sent if type(one) is ShareMembers]
        self.assertEqual(shared.controls, ("127.0.0.1", "127.0.0.2", "127.0.0.3"))
