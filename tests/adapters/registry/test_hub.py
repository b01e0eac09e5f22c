"""What controls tell each other and their gateways."""

from __future__ import annotations

import unittest
from types import SimpleNamespace
from typing import Any
from typing import cast
from unittest import mock

from tests.routing.factories import make_news
from waxwingwell.adapters.registry import hub
from waxwingwell.adapters.registry.api import announce
from waxwingwell.adapters.registry.api import withdraw
from waxwingwell.adapters.registry.hub import handle_connection
from waxwingwell.adapters.registry.hub import run_sharing
from waxwingwell.adapters.registry.hub import share_heartbeats
from waxwingwell.adapters.registry.hub import take_cast
from waxwingwell.routing.fleet import UpstreamState
from waxwingwell.routing.messages import GatewayReport
from waxwingwell.routing.messages import ShareHeartbeats
from waxwingwell.routing.messages import ShareNews
from waxwingwell.state.consensus.records import Membership

from .support import make_registry


def find_news(sent: list[Any]) -> list[str]:
    """Return the upstreams that were told of."""
    return [
        one.upstream
        for body in sent
        if isinstance(body, ShareNews)
        for one in body.news
    ]


class GreetingTest(unittest.TestCase):
    """What a process gets that has just connected."""

    def test_whoever_connects_learns_of_all_upstreams(self) -> None:
        """A control restarts without its memory.

        The others told of each upstream when it changed, long ago. The control would
        know only upstreams whose heartbeats reach it, and its gateways would take all
        others for dead and refuse requests.
        """
        for remote in ("gateway-1", "127.0.0.2"):
            with self.subTest(remote=remote):
                registry = make_registry()
                announce(registry.context, make_news("u1"))
                connection = registry.accept(remote)
                handle_connection(registry.context, connection)
                self.assertEqual(find_news(connection.sent), ["u1"])


class NewsTest(unittest.TestCase):
    """News goes on once, to everyone."""

    def test_changes_go_to_gateways_and_controls(self) -> None:
        registry = make_registry()
        gateway = registry.accept("gateway-1")
        handle_connection(registry.context, gateway)
        control = cast("Any", registry.context.controls["127.0.0.2"]).protocol
        for name, step in (
            ("new", lambda: announce(registry.context, make_news("u1"))),
            ("leaving", lambda: withdraw(registry.context, "u1", 1)),
        ):
            with self.subTest(name):
                before = len(find_news(gateway.sent)), len(find_news(control.sent))
                step()
                after = len(find_news(gateway.sent)), len(find_news(control.sent))
                self.assertEqual(after, (before[0] + 1, before[1] + 1))

    def test_a_heartbeat_that_changes_nothing_is_not_told_at_once(self) -> None:
        registry = make_registry()
        gateway = registry.accept("gateway-1")
        handle_connection(registry.context, gateway)
        announce(registry.context, make_news("u1"))
        sent = len(gateway.sent)
        announce(registry.context, make_news("u1", sequence=2))
        self.assertEqual(len(gateway.sent), sent)
        take_cast(
            registry.context,
            "gateway-1",
            GatewayReport(gateway="gateway-1", use=(), evidence=()),
        )
        share_heartbeats(registry.context)
        self.assertEqual(gateway.sent[-1], ShareHeartbeats(heard=(("u1", 1, 2),)))

    def test_news_that_found_a_link_full_is_told_again(self) -> None:
        """An upstream leaves while a gateway reads slowly.

        The leave was acknowledged, and the news of it dropped, as the link was full.
        The gateway sent requests to the upstream until its heartbeats were missed.
        """
        for remote in ("gateway-1", "127.0.0.2"):
            with self.subTest(remote=remote):
                registry = make_registry()
                announce(registry.context, make_news("u1"))
                connection = registry.accept(remote)
                handle_connection(registry.context, connection)
                link: Any = SimpleNamespace(protocol=connection, stopped=False)
                if remote == "127.0.0.2":
                    registry.context.controls = {remote: link}

                connection.sent.clear()
                connection.full = True
                withdraw(registry.context, "u1", None)
                run_sharing(registry.context, registry.clock.seconds())
                self.assertEqual(find_news(connection.sent), [])
                connection.full = False
                run_sharing(registry.context, registry.clock.seconds())
                run_sharing(registry.context, registry.clock.seconds())
                self.assertEqual(find_news(connection.sent), ["u1"])
                [shared] = [one for one in connection.sent if type(one) is ShareNews]
                self.assertIs(shared.news[0].state, UpstreamState.GONE)

    def test_a_leave_of_an_unknown_upstream(self) -> None:
        """A leave arrives at a control that has just restarted.

        If it names its incarnation the others can be told; else another control must
        be asked, so it is not acknowledged.
        """
        for incarnation, known in ((5, True), (None, False)):
            with self.subTest(incarnation=incarnation):
                registry = make_registry()
                self.assertIs(withdraw(registry.context, "u9", incarnation), known)
                held = registry.context.fleet.upstreams.get("u9")
                state = held.news.state if held else None
                self.assertEqual(state, UpstreamState.GONE if known else None)


class MemberTest(unittest.TestCase):
    """Which controls a control connects to."""

    def test_members_on_disk_are_called(self) -> None:
        """All controls restart, and their settings name seeds that are long gone.

        Each has the members on its disk. If none called another, no leader would ever
        be elected again.
        """
        registry = make_registry()
        membership = Membership(
            voters=("127.0.0.1~1", "127.0.0.2~1", "127.0.0.3~1"),
            learners=("127.0.0.4~1",),
            removed=("127.0.0.5~1",),
        )
        replica = SimpleNamespace(membership=membership)
        registry.context.group = cast("Any", SimpleNamespace(replica=replica))
        called: list[str] = []
        with mock.patch.object(
            hub, "connect_control", lambda _, name: called.append(name)
        ):
            hub.follow_members(registry.context)

        expected = ["127.0.0.1", "127.0.0.2", "127.0.0.3", "127.0.0.4"]
        self.assertEqual(sorted(called), expected)

    def test_names_that_may_found_are_the_seeds_alone(self) -> None:
        """The whole system starts for the first time.

        A control that is no seed connects to the seeds before they have founded the
        group, and its name comes before theirs. It may not found, so nobody would.
        """
        for first_start, expected in (
            (True, ("127.0.0.1",)),
            (False, ("127.0.0.1", "x")),
        ):
            with self.subTest(first_start=first_start):
                registry = make_registry(first_start=first_start)
                replica = SimpleNamespace(names=("127.0.0.1",))
                registry.context.group = cast("Any", SimpleNamespace(replica=replica))
                hub.allow_member(registry.context, "x")
                self.assertEqual(replica.names, expected)
