"""An entry's calls to control while a leader stands still or none answers."""

from __future__ import annotations

import unittest
from types import SimpleNamespace
from typing import Any
from typing import cast

from twisted.internet.defer import Deferred
from twisted.internet.defer import fail
from twisted.internet.defer import succeed
from twisted.internet.task import Clock

from waxwingwell.adapters.entry.control_client import ControlClient
from waxwingwell.adapters.entry.control_client import ask_leader
from waxwingwell.adapters.entry.upkeep import RENEW_RETRY_DELAY
from waxwingwell.adapters.entry.upkeep import RENEW_TIMEOUT
from waxwingwell.adapters.entry.upkeep import Upkeep
from waxwingwell.adapters.entry.upkeep import renew_periodically
from waxwingwell.adapters.exceptions import LinkLostError
from waxwingwell.messages import AskInForce
from waxwingwell.messages import InForce
from waxwingwell.messages import NotLeader
from waxwingwell.records import EntryId
from waxwingwell.state.leases import ConfigLease


STEP = 0.05


class ControlClientTest(unittest.TestCase):
    """The clock is moved by hand; links are stubs that note who is asked."""

    def setUp(self) -> None:
        self.clock = Clock()
        self.asked: list[str] = []
        self.client = ControlClient(reactor=self.clock, clock=self.clock.seconds)

    def add_link(self, name: str, answer: Any) -> None:
        def call(body: Any, *, timeout: float) -> Deferred[Any]:
            self.asked.append(name)
            return cast("Deferred[Any]", answer(timeout))

        protocol = SimpleNamespace(call=call, replace_silent=lambda: None)
        link = SimpleNamespace(name=name, protocol=protocol)
        self.client.links[name] = cast("Any", link)

    def lose_later(self, timeout: float) -> Deferred[Any]:
        lost: Deferred[Any] = Deferred()
        self.clock.callLater(timeout, lost.errback, LinkLostError("no answer"))
        return lost

    def test_frozen_leader_is_not_asked_again_at_once(self) -> None:
        """The leader stands still, and the others still name it for a while.

        An entry whose call ran out its time must not be sent back to it by them:
        its caller would wait a whole call's time once more.
        """
        self.add_link("frozen", self.lose_later)
        elected_at = 1.3

        def tell(timeout: float) -> Deferred[Any]:
            elected = self.clock.seconds() >= elected_at
            return succeed(
                InForce(in_force=True) if elected else NotLeader(leader="frozen")
            )

        self.add_link("other", tell)
        self.client.leader = "frozen"
        asking = Deferred.fromCoroutine(
            ask_leader(self.client, AskInForce(config_version=1), limit=3.0)
        )
        found: list[Any] = []
        asking.addBoth(found.append)
        while not found:
            self.clock.advance(STEP)

        self.assertEqual(found, [InForce(in_force=True)])
        self.assertEqual(self.asked.count("frozen"), 1)
        self.assertLess(self.clock.seconds(), elected_at + 3 * STEP)

    def test_renewal_that_was_not_granted_is_repeated_soon(self) -> None:
        """The leader changes, and an entry's renewal goes unanswered.

        The entry holds its lease still. If it paused as after a grant, two or three
        such renewals would use the lease up.
        """
        self.add_link("none", lambda timeout: fail(LinkLostError("down")))
        lease = ConfigLease(entry=EntryId("entry-1"), incarnation=1)
        lease.expires_at = 100.0
        counted: list[str] = []
        context = SimpleNamespace(
            control=self.client,
            lease=lease,
            clock=self.clock.seconds,
            reactor=self.clock,
            metrics=SimpleNamespace(count=lambda name, _: counted.append(name)),
        )
        upkeep = Upkeep()
        renew_periodically(cast("Any", context), upkeep)
        while not counted:
            self.clock.advance(STEP)

        self.assertLess(self.clock.seconds(), RENEW_TIMEOUT + 2 * STEP)
        self.assertIsNotNone(upkeep.renewal)
        due = upkeep.renewal.getTime() - self.clock.seconds()
        self.assertAlmostEqual(due, RENEW_RETRY_DELAY)
