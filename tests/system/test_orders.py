"""Orders through entry loss, lost answers and doubled keys: at most one run."""

from __future__ import annotations

from scripts.faults import ask_world
from scripts.faults import read_counts
from scripts.faults import set_faults
from scripts.faults import set_relays
from scripts.launcher import kill_process
from scripts.launcher import wait_until

from .support import CUT
from .support import RELAYED
from .support import Reply
from .support import SystemCase


OTHER = "entry-2"


def is_final(reply: Reply) -> bool:
    """Tell whether a reply says more than that the first request still runs."""
    return reply.status not in (CUT, 503) and reply.code != "key_in_use"


class OrderTest(SystemCase):
    """Each test sends its order by its own name, which the service counts."""

    def count(self, name: str) -> int:
        return read_counts(self.system)["orders"].get(name, 0)

    def is_answered(self) -> bool:
        return bool(ask_world(self.system, "counts", None)["answering"] == 0)

    def wait_run(self, name: str) -> None:
        wait_until(lambda: self.count(name) > 0, f"{name} runs")

    def test_entry_killed_at_each_step(self) -> None:
        """A caller orders, and the entry dies while the order is under way.

        One order has been dispatched and not answered; another was answered and its
        row is not settled. The callers see a cut connection and send the orders again
        by their keys through another entry. A second dispatch would book twice.
        """
        names = ("dispatched", "answered")
        set_faults(self.system, "service", silent_answers=1)
        first = [self.begin(self.order, RELAYED, names[0])]
        self.wait_run(names[0])
        first.append(self.begin(self.order, RELAYED, names[1]))
        self.wait_run(names[1])
        set_relays(self.system, RELAYED, silence=True, blackhole=True)
        wait_until(self.is_answered, "the service answers")
        kill_process(self.system, RELAYED)
        for name, caller in zip(names, first, strict=True):
            with self.subTest(name):
                self.assertEqual(caller.result().status, CUT)
                last = self.order_until(OTHER, name, is_final)
                self.assertEqual((last.status, last.outcome), (409, "may_have_run"))
                self.assertEqual(self.count(name), 1)

    def test_service_drops_the_connection_after_running(self) -> None:
        """The service runs an order and its connection breaks before the answer.

        The entry can't know whether it ran. The caller must hear so, and a resend,
        through either entry, must hear the same and never reach the service.
        """
        set_faults(self.system, "service", drop_answers=1)
        name = "dropped"
        first = self.order(RELAYED, name)
        self.assertEqual((first.status, first.outcome), (502, "may_have_run"))
        for entry in (RELAYED, OTHER):
            again = self.order(entry, name)
            self.assertEqual((again.status, again.code), (409, "may_have_run"))
            self.assertEqual(again.outcome, "may_have_run")

        self.assertEqual(self.count(name), 1)

    def test_same_key_through_two_entries(self) -> None:
        """A caller's retry overtakes its first try by way of another entry.

        Both entries hold the order at one time; one of them may run it. Each caller
        gets the one answer in the end.
        """
        name = "twice"
        both = [self.begin(self.order, entry, name) for entry in (RELAYED, OTHER)]
        replies = [item.result() for item in both]
        self.assertIn(201, [reply.status for reply in replies])
        last = self.order_until(OTHER, name, is_final)
        first = next(reply for reply in replies if reply.status == 201)
        self.assertEqual((last.status, last.body), (201, first.body))
        self.assertEqual(self.count(name), 1)

    def test_reservation_committed_but_never_answered(self) -> None:
        """Control records an order, and the word of it never reaches the entry.

        The entry refuses the order as "not run", rightly. The caller comes back
        later with the same key, as it was told to, and must be served: a row left
        open by the refusal would answer "is running" for as long as the entry lives.
        """
        name = "unheard"
        set_relays(self.system, RELAYED, mute=True)
        first = self.order(RELAYED, name)
        self.assertEqual((first.status, first.outcome), (503, "not_run"))
        self.assertEqual(first.code, "control_unavailable")
        self.assertEqual(self.count(name), 0)
        set_relays(self.system, RELAYED, mute=False, cut=True)
        last = self.order_until(OTHER, name, is_final)
        self.assertEqual(last.status, 201)
        self.assertEqual(self.count(name), 1)
