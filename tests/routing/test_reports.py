"""Tests of the totals of gateways' reports, at one control and over all."""

from __future__ import annotations

import unittest
from typing import Any

import msgspec
from msgspec import UNSET

from waxwingwell.routing.messages import ControlReport
from waxwingwell.routing.messages import FleetReport
from waxwingwell.routing.messages import FormerCounts
from waxwingwell.routing.messages import GatewayReport
from waxwingwell.routing.messages import ServiceDemand
from waxwingwell.routing.messages import ServiceRepeats
from waxwingwell.routing.messages import UpstreamUse
from waxwingwell.routing.messages import VersionEvidence
from waxwingwell.routing.messages import WorkspaceUse
from waxwingwell.routing.reports import EVIDENCE_RESEND_SECONDS
from waxwingwell.routing.reports import REPORT_TTL_SECONDS
from waxwingwell.routing.reports import USE_TTL_SECONDS
from waxwingwell.routing.reports import WAITING_RESEND_SECONDS
from waxwingwell.routing.reports import ReportTable
from waxwingwell.routing.reports import count_reporting
from waxwingwell.routing.reports import drop_expired
from waxwingwell.routing.reports import list_gateways_without_state
from waxwingwell.routing.reports import make_control_report
from waxwingwell.routing.reports import make_full_report
from waxwingwell.routing.reports import receive_control_report
from waxwingwell.routing.reports import receive_report
from waxwingwell.routing.reports import record_founding
from waxwingwell.routing.reports import start_counting
from waxwingwell.routing.reports import sum_fleet
from waxwingwell.routing.totals import has_invalid_demand
from waxwingwell.routing.totals import make_total
from waxwingwell.routing.totals import sum_totals


USE = (UpstreamUse(upstream="u1", running=2, backlog=10),)


def make_report(gateway: str, **fields: Any) -> GatewayReport:
    """Return a gateway's report."""
    return GatewayReport(**{"gateway": gateway, "use": (), "evidence": (), **fields})


def make_evidence(answers: int, **fields: Any) -> tuple[VersionEvidence, ...]:
    """Return a gateway's evidence on a version."""
    known = {"service": "chat", "version": "v1", "kind": "r1"}
    return (VersionEvidence(**{**known, **fields}, answers=answers, failures=0),)


def make_counts(requests: int, repeats: int) -> tuple[ServiceRepeats, ...]:
    """Return a gateway's counts of requests and retries of one service."""
    return (ServiceRepeats("chat", requests, repeats),)


def make_told(
    counted: float | None, run: int = 0, repeats: tuple[ServiceRepeats, ...] = ()
) -> ControlReport:
    """Return another control's report; ``counted`` is None for the whole window."""
    total = FleetReport(
        gateways=1,
        use=(),
        repeats=repeats,
        counted=UNSET if counted is None else counted,
    )
    return ControlReport(total=total, run=run or UNSET)


class DemandTest(unittest.TestCase):
    """Demand for services that are short of room."""

    def test_sums(self) -> None:
        """Guards against demand that is lost or counted twice on its way."""
        table = ReportTable()
        for name in ("a", "b"):
            report = make_report(
                name,
                demand=(
                    ServiceDemand("chat", 0, 3, 2),
                    ServiceDemand("chat", 9, 0, 0, 4),
                ),
                workspaces=(WorkspaceUse("chat", "team", 5),),
            )
            receive_report(table, report, 0.0)

        other = make_control_report(table, 0.0, urgent=False)
        receive_control_report(table, "c2", other, 0.0)
        total = sum_fleet(table, 0.0)
        self.assertEqual(
            total.demand,
            (ServiceDemand("chat", 0, 12, 8), ServiceDemand("chat", 9, 0, 0, 16)),
        )
        self.assertEqual(total.workspaces, (WorkspaceUse("chat", "team", 20),))
        late = sum_fleet(table, USE_TTL_SECONDS + 0.1)
        self.assertEqual((late.demand, late.workspaces), (UNSET, UNSET))

    def test_invalid_values_are_dropped(self) -> None:
        """Guards against one gateway's values that stop or flood the others."""
        valid = ServiceDemand("chat", 0, 1)
        for bad in (
            {"demand": (valid, ServiceDemand("chat", 0, -9))},
            {"demand": (valid, ServiceDemand("chat", 77, 1))},
            {
                "demand": (valid,),
                "workspaces": (WorkspaceUse("chat", "team", 10**9),),
            },
        ):
            with self.subTest(bad):
                report = make_report("a", **bad)
                self.assertTrue(has_invalid_demand(report))
                total = sum_totals([make_total(report)])
                self.assertEqual(total.demand, (valid,))
                self.assertEqual(total.workspaces, UNSET)

        self.assertFalse(has_invalid_demand(make_report("a", demand=(valid,))))

    def test_messages_are_the_same_bytes_with_room_to_spare(self) -> None:
        """Guards against bytes that are sent without need, also by a control."""
        report = make_report("a", use=USE)
        table = ReportTable()
        receive_report(table, report, 0.0)
        for message in (
            report,
            sum_fleet(table, 0.0),
            make_control_report(table, 0.0, urgent=False),
        ):
            encoded = msgspec.msgpack.encode(message)
            self.assertNotIn(b"demand", encoded)
            self.assertNotIn(b"workspaces", encoded)


class TotalTest(unittest.TestCase):
    """Totals of several gateways' reports."""

    def test_totals(self) -> None:
        reports = [make_report(name, use=USE) for name in ("a", "b")]
        self.assertEqual(
            sum_totals(map(make_total, reports)),
            FleetReport(
                gateways=2,
                use=(UpstreamUse(upstream="u1", running=4, backlog=20),),
            ),
        )

    def test_what_gateways_report_of_a_rollout(self) -> None:
        """Guards against a roll-out that proceeds before all gateways have reported.

        A gateway must not decide on sessions that others have not reported yet.
        """
        for name, reported, held, kept in (
            ("none", (), -1, set()),
            ("one lags", ((8, (1, 2)), (7, (2, 3))), 7, {1, 2, 3}),
            ("one does not report", ((8, (1,)), (-1, ())), -1, {1}),
        ):
            with self.subTest(name):
                reports = [
                    make_report(str(place), held=at, kept=places)
                    for place, (at, places) in enumerate(reported)
                ]
                total = sum_totals(map(make_total, reports))
                self.assertEqual((total.held, set(total.kept)), (held, kept))


class Controls:
    """Two controls that exchange reports on their gateways."""

    def __init__(self) -> None:
        self.first = ReportTable(name="first")
        self.second = ReportTable(name="second")

    def exchange(self, now: float, *, urgent: bool = False) -> ControlReport:
        """Exchange the reports of both controls; return the second control's report."""
        first = make_control_report(self.first, now, urgent=urgent)
        second = make_control_report(self.second, now, urgent=urgent)
        receive_control_report(self.first, "second", second, now)
        receive_control_report(self.second, "first", first, now)
        return second


class ControlTest(unittest.TestCase):
    """Totals over gateways that are attached to different controls."""

    def test_both_controls_have_the_totals_of_all(self) -> None:
        controls = Controls()
        repeats = (ServiceRepeats("chat", 10, 4),)
        receive_report(
            controls.first, make_report("a", use=USE, held=8, repeats=repeats), 0.0
        )
        receive_report(
            controls.second, make_report("b", use=USE, held=7, repeats=repeats), 0.0
        )
        controls.exchange(0.0)
        for table in (controls.first, controls.second):
            total = sum_fleet(table, 0.0)
            self.assertEqual(total.gateways, 2)
            self.assertEqual(total.use[0].running, 4)
            self.assertEqual(total.held, 7)
            self.assertEqual(total.repeats, (ServiceRepeats("chat", 20, 8),))

    def test_a_control_without_gateways_delays_no_rollout(self) -> None:
        """Guards against roll-outs that stall while a control has no gateway."""
        controls = Controls()
        receive_report(controls.first, make_report("a", held=8), 0.0)
        controls.exchange(0.0)
        self.assertEqual(sum_fleet(controls.first, 0.0).held, 8)

    def test_a_gateway_without_reports(self) -> None:
        """Guards against requests counted as running at a gateway that is gone.

        The gateway may only be stalled, so it delays a roll-out for longer.
        """
        for age, running, gateways in (
            (USE_TTL_SECONDS, 2, 1),
            (USE_TTL_SECONDS + 0.1, 0, 1),
            (REPORT_TTL_SECONDS, 0, 1),
            (REPORT_TTL_SECONDS + 0.1, 0, 0),
        ):
            for place in ("its control", "the other control"):
                with self.subTest(age=age, place=place):
                    controls = Controls()
                    receive_report(controls.second, make_report("b", use=USE), 0.0)
                    controls.exchange(0.0)
                    attached = place == "its control"
                    table = controls.second if attached else controls.first
                    drop_expired(table, age)
                    total = sum_fleet(table, age)
                    self.assertEqual(sum(one.running for one in total.use), running)
                    self.assertEqual(total.gateways, gateways)

    def test_a_gateway_that_attaches_to_another_control(self) -> None:
        """Guards against requests counted at both controls for more than a moment."""
        controls = Controls()
        receive_report(controls.first, make_report("a", use=USE), 0.0)
        at = USE_TTL_SECONDS + 0.1
        receive_report(controls.second, make_report("a", use=USE), at)
        controls.exchange(at)
        for table in (controls.first, controls.second):
            self.assertEqual(sum_fleet(table, at).use, USE)

    def test_retries_count_until_the_end_of_their_window(self) -> None:
        """Guards against a budget that is used again after its user has ended.

        A gateway stalls or ends, or is replaced by a new process that knows of no
        retry. Its requests don't allow retries any more.
        """
        for name, run, age, requests, repeats in (
            ("it reports", 1, 0.0, 20, 4),
            ("it stalls", None, USE_TTL_SECONDS + 0.1, 0, 4),
            ("it is gone", None, REPORT_TTL_SECONDS + 0.1, 0, 4),
            ("its window is over", None, REPORT_TTL_SECONDS + 10.1, 0, 0),
            ("it has restarted", 2, 0.5, 1, 5),
            ("it restarted long ago", 2, 10.5, 1, 1),
        ):
            for place in ("its control", "the other control"):
                with self.subTest(name, place=place):
                    controls = Controls()
                    report = make_report("a", run=1, repeats=make_counts(20, 4))
                    receive_report(controls.second, report, 0.0)
                    controls.exchange(0.0)
                    if run is not None:
                        counts = make_counts(20, 4) if run == 1 else make_counts(1, 1)
                        report = make_report("a", run=run, repeats=counts)
                        receive_report(controls.second, report, age)

                    for table in (controls.first, controls.second):
                        drop_expired(table, age)

                    controls.exchange(age)
                    attached = place == "its control"
                    table = controls.second if attached else controls.first
                    total = sum_fleet(table, age).repeats
                    self.assertEqual(sum(one.requests for one in total), requests)
                    self.assertEqual(sum(one.repeats for one in total), repeats)

    def test_gateways_that_do_not_report_their_state(self) -> None:
        controls = Controls()
        receive_report(controls.first, make_report("a", held=-1), 0.0)
        receive_report(controls.second, make_report("b", held=-1), 0.0)
        receive_report(controls.second, make_report("c", held=3), 0.0)
        controls.exchange(0.0)
        self.assertEqual(list_gateways_without_state(controls.first), ["a", "b"])


class LostControlTest(unittest.TestCase):
    """What is known of the retries that a control had counted before it ended."""

    def test_for_how_long_retries_are_known(self) -> None:
        """Guards against totals that look whole although a part of them is gone."""
        now = 100.0
        for name, since, other, heard, expected in (
            ("an old control", 0.0, None, now, None),
            ("a new one, told by an old one", 97.0, None, now, None),
            ("a new one, told by one that is little older", 97.0, 4.0, now, 4.0),
            ("a new one, told while it starts", 97.0, None, 97.5, 3.0),
            ("a new one alone", 97.0, None, None, 3.0),
        ):
            with self.subTest(name):
                table = ReportTable(began_at=since, counted_since=since)
                if heard is not None:
                    receive_control_report(table, "other", make_told(other), heard)

                found = sum_fleet(table, now).counted
                self.assertEqual(found or None, expected)

    def test_a_control_that_starts(self) -> None:
        """Guards against retries that are refused as a system starts first."""
        for is_first, expected in ((True, None), (False, 2.0)):
            with self.subTest(is_first=is_first):
                table = ReportTable()
                start_counting(table, 100.0)
                if is_first:
                    record_founding(table)

                self.assertEqual(sum_fleet(table, 102.0).counted or None, expected)

    def test_counts_of_a_control_that_ends(self) -> None:
        """Guards against retries that are forgotten with the control that knew them."""
        for name, run, heard, expected in (
            ("it runs", 1, 102.0, 30),
            ("it has restarted", 2, 102.0, 30),
            ("it is silent", 1, None, 30),
            ("its window is over", 2, 111.0, 0),
        ):
            with self.subTest(name):
                table = ReportTable()
                told = make_told(None, run=1, repeats=make_counts(40, 30))
                receive_control_report(table, "other", told, 100.0)
                now = heard or 104.0
                if heard is not None:
                    repeats = make_counts(40, 30) if run == 1 else ()
                    later = make_told(None, run=run, repeats=repeats)
                    receive_control_report(table, "other", later, heard)

                drop_expired(table, now)
                total = sum(one.repeats for one in sum_fleet(table, now).repeats)
                self.assertEqual(total, expected)

    def test_gateways_that_report_elsewhere_now(self) -> None:
        """Guards against retries that count twice once a control has ended."""
        first, second = ReportTable(), ReportTable()
        for table in (first, second):
            told = make_told(None, run=1, repeats=make_counts(40, 30))
            receive_control_report(table, "other", told, 100.0)
            receive_control_report(table, "other", make_told(None, run=2), 101.0)

        former = FormerCounts("other", make_counts(40, 30))
        report = make_report("g1", repeats=make_counts(50, 35), former=former)
        receive_report(first, report, 101.0)
        passed_on = make_control_report(first, 101.1, urgent=False)
        receive_control_report(second, "first", passed_on, 101.2)
        for table in (first, second):
            [total] = sum_fleet(table, 101.3).repeats
            self.assertEqual(total.repeats, 35)

    def test_a_control_that_has_just_started_is_told(self) -> None:
        """Guards against a restart after which the former counts are not known."""
        old, new = ReportTable(), ReportTable(run=2, began_at=101.0)
        told = make_told(None, run=1, repeats=make_counts(40, 30))
        receive_control_report(old, "new", told, 100.0)
        receive_control_report(old, "new", make_told(0.1, run=2), 101.1)
        passed_on = make_control_report(old, 101.2, urgent=False)
        receive_control_report(new, "old", passed_on, 102.3)
        [total] = sum_fleet(new, 102.4).repeats
        self.assertEqual(total.repeats, 30)


class BlockReportTest(unittest.TestCase):
    """Reports of prompt blocks that engines have processed."""

    def test_each_control_reports_a_block_once(self) -> None:
        """Guards against blocks that are reported with all totals, or to some only."""
        controls = Controls()
        receive_report(controls.second, make_report("b", read=(7, 8)), 0.0)
        controls.exchange(0.0)
        controls.exchange(0.1)
        for table in (controls.first, controls.second):
            self.assertEqual(set(sum_fleet(table, 0.2).read), {7, 8})
            self.assertEqual(sum_fleet(table, 0.3).read, ())


class EvidenceTest(unittest.TestCase):
    """Evidence on versions that controls send to each other."""

    def test_when_evidence_is_sent(self) -> None:
        """Guards against unneeded traffic, and against missing evidence."""
        for name, urgent, answers, at, expected in (
            ("unchanged", True, 1, 0.25, False),
            ("changed, in a roll-out", True, 2, 0.25, True),
            ("changed, no roll-out", False, 2, 0.25, False),
            ("unchanged for long", True, 1, EVIDENCE_RESEND_SECONDS, True),
            ("no roll-out for long", False, 2, EVIDENCE_RESEND_SECONDS, True),
        ):
            with self.subTest(name):
                controls = Controls()
                for now, responses in ((10.0, 1), (10.0 + at, answers)):
                    report = make_report("b", evidence=make_evidence(responses))
                    receive_report(controls.second, report, now)
                    exchanged = controls.exchange(now, urgent=urgent)

                self.assertIs(bool(exchanged.evidence), expected)

    def test_only_changed_parts_are_sent_in_between(self) -> None:
        """Guards against traffic that grows with the routes of a service."""
        controls = Controls()
        idle = make_evidence(4, kind="r2")
        for now, answers, parts in ((10.0, 1, 2), (10.25, 2, 1)):
            evidence = (*make_evidence(answers), *idle)
            receive_report(controls.second, make_report("b", evidence=evidence), now)
            [sent] = controls.exchange(now, urgent=True).evidence
            self.assertEqual(len(sent.versions), parts)
            self.assertEqual(controls.first.evidence["b"].versions, evidence)

    def test_waiting_requests_are_told_again(self) -> None:
        """Guards against requests that wait unchanged and seem to have ended."""
        for name, waiting, urgent, expected in (
            ("some wait", ((30, 1),), True, True),
            ("none waits", (), True, False),
            ("no roll-out", ((30, 1),), False, False),
        ):
            with self.subTest(name):
                controls = Controls()
                report = make_report("b", evidence=make_evidence(1, waiting=waiting))
                for now in (10.0, 10.0 + WAITING_RESEND_SECONDS):
                    receive_report(controls.second, report, now)
                    exchanged = controls.exchange(now, urgent=urgent)

                self.assertIs(bool(exchanged.evidence), expected)

    def test_the_parts_of_an_ended_process_are_replaced(self) -> None:
        """Guards against waiting requests of a gateway that has restarted."""
        controls = Controls()
        for now, run, evidence in (
            (10.0, 1, (*make_evidence(3), *make_evidence(4, kind="r2"))),
            (10.25, 2, make_evidence(1)),
        ):
            report = make_report("b", run=run, evidence=evidence)
            receive_report(controls.second, report, now)
            controls.exchange(now, urgent=True)
            known = controls.first.evidence["b"]
            self.assertEqual((known.run, known.versions), (run, evidence))

    def test_a_control_that_connects_gets_all_evidence(self) -> None:
        """Guards against a restarted control that leads with its own evidence only."""
        controls = Controls()
        evidence = make_evidence(3)
        receive_report(controls.second, make_report("b", evidence=evidence), 10.0)
        controls.exchange(10.0, urgent=True)
        restarted = ReportTable()
        report = make_full_report(controls.second, 10.1)
        receive_control_report(restarted, "second", report, 10.1)
        self.assertEqual(restarted.evidence["b"].versions, evidence)
        self.assertEqual(count_reporting(restarted)[0], 1)

    def test_a_detached_control_does_not_restore_old_evidence(self) -> None:
        """Guards against responses counted twice after a change of control."""
        controls = Controls()
        old = make_report("b", evidence=make_evidence(5))
        receive_report(controls.second, old, 10.0)
        controls.exchange(10.0, urgent=True)
        new = make_report("b", evidence=make_evidence(6))
        receive_report(controls.first, new, 10.5)
        for now in (
            10.5,
            10.0 + EVIDENCE_RESEND_SECONDS,
            10.5 + EVIDENCE_RESEND_SECONDS,
        ):
            controls.exchange(now, urgent=True)
            known = controls.first.evidence["b"].versions
            self.assertEqual(known, make_evidence(6))

    def test_evidence_outlasts_a_control(self) -> None:
        """Guards against failures that are lost with their gateway's control."""
        controls = Controls()
        report = make_report("b", evidence=make_evidence(3))
        receive_report(controls.second, report, 0.0)
        controls.exchange(0.0, urgent=True)
        drop_expired(controls.first, REPORT_TTL_SECONDS + 0.1)
        known = controls.first.evidence["b"].versions
        self.assertEqual(known, make_evidence(3))


if __name__ == "__main__":
    unittest.main()
