"""At most one run of an order despite lost entries and responses, and reused keys."""

from __future__ import annotations

from scripts.faults import call_standins
from scripts.faults import get_execution_counts
from scripts.faults import set_faults
from scripts.faults import set_relays
from scripts.launcher import kill_process
from scripts.launcher import wait_until

from .support import CONNECTION_LOST
from .support import RELAYED_ENTRY
from .support import Response
from .support import SystemCase


DIRECT_ENTRY = "entry-2"


def is_final(response: Response) -> bool:
    """Return whether a response is final: not a failure, nor a key still in use."""
    return (
        response.status not in (CONNECTION_LOST, 503) and response.code != "key_in_use"
    )


class OrderTest(SystemCase):
    """Each test sends an order with a name of its own, by which the service counts."""

    def count_runs(self, name: str) -> int:
        return get_execution_counts(self.system)["orders"].get(name, 0)

    def has_responded(self) -> bool:
        return bool(call_standins(self.system, "counts", None)["answering"] == 0)

    def wait_for_run(self, name: str) -> None:
        wait_until(lambda: self.count_runs(name) > 0, f"{name} to run")

    def test_entry_killed_at_each_step(self) -> None:
        """An entry dies while it processes two orders.

        One order has been dispatched without a response yet; the other has its response
        but its row is not settled. The callers lose their connections and resend the
        orders with their keys through another entry. A second dispatch would run an
        order twice.
        """
        names = ("dispatched", "answered")
        set_faults(self.system, "service", silent_answers=1)
        first = [self.start_caller(self.send_order, RELAYED_ENTRY, names[0])]
        self.wait_for_run(names[0])
        first.append(self.start_caller(self.send_order, RELAYED_ENTRY, names[1]))
        self.wait_for_run(names[1])
        set_relays(self.system, RELAYED_ENTRY, silence=True, blackhole=True)
        wait_until(self.has_responded, "the service to respond")
        kill_process(self.system, RELAYED_ENTRY)
        for name, caller in zip(names, first, strict=True):
            with self.subTest(name):
                self.assertEqual(caller.result().status, CONNECTION_LOST)
                last = self.retry_order_until(DIRECT_ENTRY, name, is_final)
                self.assertEqual((last.status, last.outcome), (409, "may_have_run"))
                self.assertEqual(self.count_runs(name), 1)

    def test_service_drops_the_connection_after_running(self) -> None:
        """The service runs an order, and its connection fails before the response.

        The entry can't know whether the order ran. It must report so to the caller. A
        resend through either entry must get the same outcome and must not reach the
        service.
        """
        set_faults(self.system, "service", drop_answers=1)
        name = "dropped"
        first = self.send_order(RELAYED_ENTRY, name)
        self.assertEqual((first.status, first.outcome), (502, "may_have_run"))
        for entry in (RELAYED_ENTRY, DIRECT_ENTRY):
            again = self.send_order(entry, name)
            self.assertEqual((again.status, again.code), (409, "may_have_run"))
            self.assertEqual(again.outcome, "may_have_run")

        self.assertEqual(self.count_runs(name), 1)

    def test_same_key_through_two_entries(self) -> None:
        """A caller's retry through another entry overtakes its first attempt.

        Both entries hold the order at the same time, and only one of them may run it.
        Each caller eventually gets the same response.
        """
        name = "twice"
        both = [
            self.start_caller(self.send_order, entry, name)
            for entry in (RELAYED_ENTRY, DIRECT_ENTRY)
        ]
        responses = [item.result() for item in both]
        self.assertIn(201, [response.status for response in responses])
        last = self.retry_order_until(DIRECT_ENTRY, name, is_final)
        first = next(response for response in responses if response.status == 201)
        self.assertEqual((last.status, last.body), (201, first.body))
        self.assertEqual(self.count_runs(name), 1)

    def test_reservation_committed_but_its_reply_lost(self) -> None:
        """Control records an order, but its reply does not reach the entry.

        The entry correctly refuses the order as "not run". When the caller retries
        later with the same key, as the refusal permits, it must be served: a row that
        the refusal left open would report "is running" for as long as the entry lives.
        """
        name = "unheard"
        set_relays(self.system, RELAYED_ENTRY, mute=True)
        first = self.send_order(RELAYED_ENTRY, name)
        self.assertEqual((first.status, first.outcome), (503, "not_run"))
        self.assertEqual(first.code, "control_unavailable")
        self.assertEqual(self.count_runs(name), 0)
        set_relays(self.system, RELAYED_ENTRY, mute=False, cut=True)
        last = self.retry_order_until(DIRECT_ENTRY, name, is_final)
        self.assertEqual(last.status, 201)
        self.assertEqual(self.count_runs(name), 1)
