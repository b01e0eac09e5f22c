"""An entry's calls to control while the leader stalls or none replies."""

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
from waxwingwell.adapters.entry.periodic import RENEW_RETRY_DELAY
from waxwingwell.adapters.entry.periodic import RENEW_TIMEOUT
from waxwingwell.adapters.entry.periodic import PeriodicTasks
from waxwingwell.adapters.entry.periodic import renew_periodically
from waxwingwell.adapters.exceptions import LinkLostError
from waxwingwell.messages import AskInForce
from waxwingwell.messages import InForce
from waxwingwell.messages import NotLeader
from waxwingwell.records import EntryId
from waxwingwell.state.leases import ConfigLease


STEP = 0.05


class ControlClientTest(unittest.TestCase):
    """The clock is advanced by the test; links are stubs that record each call."""

    def setUp(self) -> None:
        self.clock = Clock()
        self.called: list[str] = []
        self.client = ControlClient(reactor=self.clock, clock=self.clock.seconds)

    def add_link(self, name: str, reply: Any) -> None:
        def call(body: Any, *, timeout: float) -> Deferred[Any]:
            self.called.append(name)
            return cast("Deferred[Any]", reply(timeout))

        protocol = SimpleNamespace(call=call, close_if_unresponsive=lambda: None)
        link = SimpleNamespace(name=name, protocol=protocol)
        self.client.links[name] = cast("Any", link)

    def time_out(self, timeout: float) -> Deferred[Any]:
        pending: Deferred[Any] = Deferred()
        self.clock.callLater(timeout, pending.errback, LinkLostError("no reply"))
        return pending

    def test_stalled_leader_is_not_called_again_at_once(self) -> None:
        """The leader stalls, and the other processes still name it for a while.

        After a timeout the entry must not let them redirect it there again: its caller
        would wait for a second full timeout.
        """
        self.add_link("stalled", self.time_out)
        elected_at = 1.3

        def reply(timeout: float) -> Deferred[Any]:
            elected = self.clock.seconds() >= elected_at
            return succeed(
                InForce(in_force=True) if elected else NotLeader(leader="stalled")
            )

        self.add_link("other", reply)
        self.client.leader = "stalled"
        pending = Deferred.fromCoroutine(
            ask_leader(self.client, AskInForce(config_version=1), limit=3.0)
        )
        replies: list[Any] = []
        pending.addBoth(replies.append)
        while not replies:
            self.clock.advance(STEP)

        self.assertEqual(replies, [InForce(in_force=True)])
        self.assertEqual(self.called.count("stalled"), 1)
        self.assertLess(self.clock.seconds(), elected_at + 3 * STEP)

    def test_renewal_that_was_not_granted_is_retried_soon(self) -> None:
        """The leader changes, and a renewal of the entry's lease gets no reply.

        The entry still holds its lease. If it waited as long as after a grant, two or
        three such renewals would use the lease up.
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
        periodic_tasks = PeriodicTasks()
        renew_periodically(cast("Any", context), periodic_tasks)
        while not counted:
            self.clock.advance(STEP)

        self.assertLess(self.clock.seconds(), RENEW_TIMEOUT + 2 * STEP)
        self.assertIsNotNone(periodic_tasks.renewal)
        delay = periodic_tasks.renewal.getTime() - self.clock.seconds()
        self.assertAlmostEqual(delay, RENEW_RETRY_DELAY)
