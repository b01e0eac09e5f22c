"""Orders to engines: given by the leader in charge, passed on by entries in step."""

from __future__ import annotations

from twisted.internet.task import deferLater

from waxwingwell.adapters.control.orders import may_order
from waxwingwell.adapters.control.orders import reconcile_orders
from waxwingwell.adapters.entry.control_calls import pass_order
from waxwingwell.embedded.system import send_command
from waxwingwell.messages import OrderPassed
from waxwingwell.messages import OrderVersions
from waxwingwell.messages import WithdrawVersion
from waxwingwell.records import UpstreamId
from waxwingwell.records import VersionId
from waxwingwell.state.fencing import raise_floor

from .support import EmbeddedTestCase


TRIES = 400
PAUSE = 0.02


class OrderTest(EmbeddedTestCase):
    """Desired state, fencing and the wait of a new leader."""

    def wait_out_leases(self) -> None:
        """Let the leases of an earlier leader have run out."""
        leases = self.system.control.context.leases
        assert leases is not None
        leases.elected_at -= 100.0

    async def test_new_leader_waits_out_old_leases(self) -> None:
        # The old leader's entries may still pass its orders on. A new leader that
        # ordered at once would see its order undone by a late one.
        context = self.system.control.context
        self.assertFalse(may_order(context))
        self.wait_out_leases()
        self.assertTrue(may_order(context))

    async def test_withdrawn_version_is_unloaded(self) -> None:
        # Engines go on holding a version after its withdrawal, until the order to
        # drop it has been seen obeyed: the leader repeats it until it is reported.
        self.wait_out_leases()
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
        for _ in range(TRIES):
            await reconcile_orders(context, context.orders)
            held = [engine.orders.loaded for engine in self.system.fleet.engines]
            if not any("large@2" in versions for versions in held):
                return

            await deferLater(self.system.reactor, PAUSE, lambda: None)

        self.fail(f"still held: {held}")

    async def test_entry_refuses_an_earlier_leader(self) -> None:
        # A leader that was cut off for long wakes up and orders a version loaded.
        # The engine ignores fencing numbers; the entry must not pass the order on.
        context = self.system.entry.context
        engine = self.system.fleet.engines[0]
        order = OrderVersions(
            upstream=UpstreamId("engine-1"),
            versions=(VersionId("large@2"),),
            fencing=3,
        )
        raise_floor(context.fencing, 5)
        obeyed = engine.orders.obeyed
        answer = await pass_order(context, order)
        assert isinstance(answer, OrderPassed)
        self.assertEqual(answer.status, 0)
        self.assertEqual(engine.orders.obeyed, obeyed)

    async def test_entry_without_lease_passes_nothing_on(self) -> None:
        # An entry that was frozen with an old order in hand wakes up: it can't know
        # who leads now, and its lease has run out.
        context = self.system.entry.context
        context.lease.expires_at = 0.0
        order = OrderVersions(upstream=UpstreamId("engine-1"), versions=(), fencing=9)
        answer = await pass_order(context, order)
        assert isinstance(answer, OrderPassed)
        self.assertEqual(answer.status, 0)
        self.assertIn("lease", answer.reason)
