"""Tests of what a control that starts takes over from its checkpoint."""

from __future__ import annotations

import unittest
from dataclasses import dataclass
from dataclasses import field

import msgspec

from waxwingwell.routing.checkpoints import MAX_UNSEEN_SECONDS
from waxwingwell.routing.checkpoints import Checkpoint
from waxwingwell.routing.checkpoints import apply_checkpoint
from waxwingwell.routing.checkpoints import make_checkpoint
from waxwingwell.routing.limits import LimitTable
from waxwingwell.routing.limits import find_rate
from waxwingwell.routing.limits import find_rest_seconds
from waxwingwell.routing.limits import record_rest
from waxwingwell.routing.limits import record_statement
from waxwingwell.routing.messages import FormerCounts
from waxwingwell.routing.messages import GatewayReport
from waxwingwell.routing.messages import ServiceRepeats
from waxwingwell.routing.quarantine import QuarantineTable
from waxwingwell.routing.quarantine import has_crashed
from waxwingwell.routing.quarantine import record_crash
from waxwingwell.routing.reports import ReportTable
from waxwingwell.routing.reports import drop_expired
from waxwingwell.routing.reports import list_former_rests
from waxwingwell.routing.reports import make_control_report
from waxwingwell.routing.reports import receive_control_report
from waxwingwell.routing.reports import receive_report
from waxwingwell.routing.reports import respond_to_report
from waxwingwell.routing.reports import sum_fleet
from waxwingwell.routing.rests import apply_rests
from waxwingwell.routing.rests import list_own_rests
from waxwingwell.routing.room import is_brittle
from waxwingwell.routing.room import record_brittleness


SAVED_AT = 100.0
BLOCK = 7
BOOT = "boot"
"""Boot in which the checkpoint was written."""


@dataclass(slots=True)
class Control:
    """The tables of one control."""

    reports: ReportTable = field(default_factory=ReportTable)
    quarantine: QuarantineTable = field(default_factory=QuarantineTable)


def make_control(name: str, run: int, at: float) -> Control:
    """Return a control that starts at a time."""
    table = ReportTable(name=name, run=run, began_at=at, counted_since=at)
    return Control(table)


def save(control: Control) -> Checkpoint:
    """Return a control's checkpoint as it is read back from the disk."""
    saved = make_checkpoint(control.reports, control.quarantine, BOOT, SAVED_AT)
    encoded = msgspec.msgpack.encode(saved)
    return msgspec.msgpack.decode(encoded, type=Checkpoint)


def restart(name: str, saved: Checkpoint, at: float, boot: str = BOOT) -> Control:
    """Return a control that starts at a time, with a checkpoint on its disk."""
    control = make_control(name, 2, at)
    apply_checkpoint(control.reports, control.quarantine, saved, boot, at, at)
    return control


def make_report(gateway: str, run: int, retries: int = 0) -> GatewayReport:
    """Return the report of a gateway with as many requests as retries."""
    counts = (ServiceRepeats("chat", retries, retries),) if retries else ()
    return GatewayReport(
        gateway=gateway, run=run, use=(), evidence=(), repeats=counts, reported_at=1.0
    )


def make_pair() -> tuple[Control, Control]:
    """Return two controls, each with a gateway, that have heard of each other."""
    pair = make_control("c0", 1, 0.0), make_control("c1", 1, 0.0)
    for number, control in enumerate(pair):
        report = make_report(f"g{number}", 1, retries=10 + number)
        receive_report(control.reports, report, SAVED_AT - 0.2)

    exchange(pair, SAVED_AT - 0.1)
    return pair


def exchange(controls: tuple[Control, ...], now: float) -> None:
    """Let controls report to each other."""
    for sender in controls:
        body = make_control_report(sender.reports, now, urgent=False)
        stamped = msgspec.structs.replace(body, sent_at=now)
        for receiver in controls:
            if receiver is not sender:
                receive_control_report(
                    receiver.reports, sender.reports.name, stamped, now
                )


class CountTest(unittest.TestCase):
    """Retries that all processes which had counted them have left."""

    def test_retries_outlive_the_processes_that_counted_them(self) -> None:
        """Guards against a budget that opens anew as all processes end at once."""
        for name, after, expected, kept in (
            ("at once", 0.5, 21, 0.93),
            ("half a window later", 5.0, 21, 0.48),
            ("late in the window", 9.5, 21, 0.03),
            ("after the window", 10.5, 0, 0.0),
        ):
            with self.subTest(name):
                at = SAVED_AT + after
                pair = tuple(
                    restart(one.reports.name, save(one), at) for one in make_pair()
                )
                for number, control in enumerate(pair):
                    receive_report(control.reports, make_report(f"g{number}", 2), at)

                exchange(pair, at + 0.1)
                for control in pair:
                    drop_expired(control.reports, at + 0.2)
                    counts = sum_fleet(control.reports, at + 0.2).repeats
                    self.assertEqual(sum(one.repeats for one in counts), expected)
                    former = sum(one.former for one in counts)
                    self.assertLessEqual(former, kept * expected)
                    self.assertGreaterEqual(former, kept * expected - len(pair))

    def test_the_window_is_known_only_if_little_was_not_seen(self) -> None:
        """Guards against counts that are taken for whole though others were sent."""
        for name, boot, after, is_known in (
            ("at once", BOOT, 0.5, True),
            ("late", BOOT, MAX_UNSEEN_SECONDS + 0.1, False),
            ("after a reboot", "other", 0.5, False),
            ("without the boot", "", 0.5, False),
            ("before it was written", BOOT, -0.5, False),
        ):
            with self.subTest(name):
                first, _ = make_pair()
                at = SAVED_AT + after
                control = restart("c0", save(first), at, boot)
                counted = sum_fleet(control.reports, at + 0.1).counted
                self.assertIs(counted is msgspec.UNSET, is_known)

    def test_what_a_former_process_did_not_know_stays_unknown(self) -> None:
        """Guards against a second kill after which half a window counts as whole."""
        control = make_control("c0", 1, SAVED_AT - 4.0)
        again = restart("c0", save(control), SAVED_AT + 0.5)
        counted = sum_fleet(again.reports, SAVED_AT + 1.0).counted
        self.assertEqual(counted, 5.0)

    def test_former_requests_count_while_all_gateways_report(self) -> None:
        """Guards against a budget used for gateways that are cut off and use it too."""
        saved = [save(one) for one in make_pair()]
        for gateways, counts in ((("g0",), False), (("g0", "g1"), True)):
            with self.subTest(gateways):
                at = SAVED_AT + 0.5
                pair = (restart("c0", saved[0], at), restart("c1", saved[1], at))
                exchange(pair, at + 0.1)
                for name in gateways:
                    receive_report(pair[0].reports, make_report(name, 2), at + 0.2)

                [total] = sum_fleet(pair[0].reports, at + 0.3).repeats
                self.assertEqual(total.repeats, 21)
                self.assertIs(total.former > 0, counts)

    def test_gateways_that_still_run_are_counted_once(self) -> None:
        """Guards against retries that count twice as only the controls were killed."""
        first, second = make_pair()
        at = SAVED_AT + 0.5
        pair = (restart("c0", save(first), at), restart("c1", save(second), at))
        exchange(pair, at + 0.1)
        for number, control in enumerate(pair):
            counts = (ServiceRepeats("chat", 10 + number, 10 + number),)
            former = msgspec.structs.replace(
                make_report(f"g{number}", 1, retries=10 + number),
                former=FormerCounts(f"c{number}", counts),
            )
            receive_report(control.reports, former, at + 0.2)

        exchange(pair, at + 0.3)
        for control in pair:
            [total] = sum_fleet(control.reports, at + 0.4).repeats
            self.assertEqual((total.repeats, total.former), (21, 0))


class BindingTest(unittest.TestCase):
    """What upstreams have asked for, or were crashed by."""

    def setUp(self) -> None:
        self.control = make_control("c0", 1, 0.0)
        tables = self.control.reports
        record_statement(tables.limits, "u1", 1, 2.0, sent_at=99.0, now=99.5)
        record_brittleness(tables.brittle, "chat", 3.0, 99.0)
        record_crash(self.control.quarantine, 1, (BLOCK,), request=1, lag=0.1, now=99.0)
        own = LimitTable()
        record_rest(own, "u1", 1, 4.0, 99.0)
        report = msgspec.structs.replace(
            make_report("g0", 1), rests=list_own_rests(own, "g0", 99.5)
        )
        receive_report(self.control.reports, report, 99.5)

    def test_it_binds_until_its_span_is_over(self) -> None:
        """Guards against rests, limits and crashes that end with all processes."""
        for after, boot, binds in (
            (1.0, BOOT, (True, True, True, True)),
            (5.0, BOOT, (False, True, True, True)),
            (12.0, BOOT, (False, True, False, True)),
            (1.0, "other", (False, False, False, True)),
        ):
            with self.subTest(after=after, boot=boot):
                at = SAVED_AT + after
                control = restart("c0", save(self.control), at, boot)
                tables = control.reports
                receive_report(tables, make_report("g0", 2), at)
                own = LimitTable()
                apply_rests(own, list_former_rests(tables, "g0", at), at)
                found = (
                    find_rest_seconds(own, "u1", 1, at) > 0.0,
                    find_rate(tables.limits, "u1", 1, at) is not None,
                    is_brittle(tables.brittle, "chat", at),
                    has_crashed(control.quarantine, BLOCK),
                )
                self.assertEqual(found, binds)

    def test_a_rest_is_told_to_its_gateway_alone(self) -> None:
        """Guards against upstreams that all gateways leave unused."""
        other = make_control("c1", 1, 0.0)
        exchange((self.control, other), SAVED_AT)
        for gateway, told in (("g0", 1), ("g1", 0)):
            with self.subTest(gateway):
                receive_report(other.reports, make_report(gateway, 2), SAVED_AT)
                report = make_report(gateway, 2)
                response = respond_to_report(other.reports, report, SAVED_AT)
                found = () if response is None else response.rests or ()
                self.assertEqual(len(found), told)

    def test_a_rest_ends_though_it_is_told_again_and_again(self) -> None:
        """Guards against messages whose delays extend what they tell."""
        other = make_control("c1", 1, 0.0)
        now = SAVED_AT
        for _ in range(40):
            body = make_control_report(self.control.reports, now, urgent=False)
            receive_control_report(other.reports, "c0", body, now + 0.2)
            back = make_control_report(other.reports, now + 0.2, urgent=False)
            receive_control_report(self.control.reports, "c1", back, now + 0.4)
            now += 0.4

        self.assertIs(back.rests, msgspec.UNSET)


if __name__ == "__main__":
    unittest.main()
