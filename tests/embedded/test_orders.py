"""Orders to engines: sent by the current leader, forwarded by entries with a lease."""

from __future__ import annotations

from twisted.internet.task import deferLater

from waxwingwell.adapters.control.orders import may_order
from waxwingwell.adapters.control.orders import reconcile_orders
from waxwingwell.adapters.entry.control_calls import forward_order
from waxwingwell.embedded.system import send_command
from waxwingwell.messages import OrderPassed
from waxwingwell.messages import OrderVersions
from waxwingwell.messages import WithdrawVersion
from waxwingwell.records import UpstreamId
from waxwingwell.records import VersionId
from waxwingwell.state.fencing import raise_floor

from .support import EmbeddedTestCase


MAX_ATTEMPTS = 400
POLL_SECONDS = 0.02


class OrderTest(EmbeddedTestCase):
    """Reconciliation of engines, fencing, and the delay before a new leader orders."""

    def expire_former_leases(self) -> None:
        """Let all leases of a former leader expire, by an earlier election time."""
        leases = self.system.control.context.leases
        assert leases is not None
        leases.elected_at -= 100.0

    async def test_new_leader_waits_for_former_leases(self) -> None:
        # Entries with a lease of the former leader may still forward its orders. If
        # the new leader sent orders at once, a late one would undo them.
        context = self.system.control.context
        self.assertFalse(may_order(context))
        self.expire_former_leases()
        self.assertTrue(may_order(context))

    async def test_withdrawn_version_is_unloaded(self) -> None:
        # An engine keeps a withdrawn version loaded until it obeys the order to unload
        # it, so the leader must repeat the order until the engine reports that.
        self.expire_former_leases()
        context = self.system.control.context
        await send_command(
            self.system,
            WithdrawVersion(
                change_id="w",
                operator="test",
                expected_revision=1,
                at=0.0,
                version=VersionId("large@2"),
            ),
        )
        for _ in range(MAX_ATTEMPTS):
            await reconcile_orders(context, context.orders)
            loaded_versions = [
                engine.orders.loaded for engine in self.system.fleet.engines
            ]
            if not any("large@2" in versions for versions in loaded_versions):
                return

            await deferLater(self.system.reactor, POLL_SECONDS, lambda: None)

        self.fail(f"still loaded: {loaded_versions}")

    async def test_entry_refuses_a_former_leader(self) -> None:
        # A leader that was partitioned off for long resumes and orders an engine to
        # load a version. The engine ignores fencing numbers, so the entry must not
        # forward the order.
        context = self.system.entry.context
        engine = self.system.fleet.engines[0]
        order = OrderVersions(
            upstream=UpstreamId("engine-1"),
            versions=(VersionId("large@2"),),
            fencing=3,
        )
        raise_floor(context.fencing, 5)
        applied = engine.orders.applied
        reply = await forward_order(context, order)
        assert isinstance(reply, OrderPassed)
        self.assertEqual(reply.status, 0)
        self.assertEqual(engine.orders.applied, applied)

    async def test_entry_without_lease_forwards_nothing(self) -> None:
        # An entry was suspended while it held an old order. When it resumes, its lease
        # has expired and it can't know the current leader, so it must refuse.
        context = self.system.entry.context
        context.lease.expires_at = 0.0
        order = OrderVersions(upstream=UpstreamId("engine-1"), versions=(), fencing=9)
        reply = await forward_order(context, order)
        assert isinstance(reply, OrderPassed)
        self.assertEqual(reply.status, 0)
        self.assertIn("lease", reply.reason)
