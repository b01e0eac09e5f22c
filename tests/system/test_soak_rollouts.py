"""The soak test's checks of roll-outs, on records made by hand."""

from __future__ import annotations

import unittest
from dataclasses import replace
from typing import Any

from bench.soak.records import Arrival
from bench.soak.records import CallerRequest
from bench.soak.records import Journal
from bench.soak.records import Run
from bench.soak.records import Stall
from bench.soak.rollout_checks import RolloutCounts
from bench.soak.rollout_checks import add_counts
from bench.soak.rollout_checks import check_exposure
from bench.soak.rollout_checks import check_kept_states
from bench.soak.rollout_checks import check_reverted
from bench.soak.rollout_checks import check_rollback
from bench.soak.rollout_checks import count_ends
from bench.soak.rollout_checks import misses_too_many
from bench.soak.rollout_records import BadResponse
from bench.soak.rollout_records import Disturbance
from bench.soak.rollout_records import RolloutRecord
from bench.soak.rollout_records import StateReading


GATEWAY = "127.0.2.1"
ORDERED_AT = 100.0
DURATION = 10.0
"""The roll-out's deadline is at 110 s."""


def make_record(**changes: Any) -> RolloutRecord:
    """Return a roll-out of a bad version."""
    record = RolloutRecord(
        service="desk",
        target="v2",
        flaw="fails",
        trouble="calm",
        former_upstreams=frozenset({"old"}),
        target_upstreams=frozenset({"new"}),
        ordered_at=ORDERED_AT,
        duration=DURATION,
        sent_at=ORDERED_AT,
        acknowledged_at=100.1,
    )
    return replace(record, **changes)


def add_request(
    journal: Journal,
    upstream: str,
    at: float,
    *,
    sent_at: float | None = None,
    **changes: Any,
) -> CallerRequest:
    """Add a request that a gateway has sent to an upstream."""
    request = CallerRequest(
        request_id=f"r{len(journal.requests)}",
        kind="read",
        path="/read/1",
        workspace="a",
        gateway=GATEWAY,
        began_at=at,
        sent_at=at if sent_at is None else sent_at,
        ended_at=at,
    )
    request = replace(request, **changes)
    journal.requests.append(request)
    journal.arrivals.append(
        Arrival(request_id=request.request_id, process=1, upstream=(upstream, 1), at=at)
    )
    return request


def disturb(
    began_at: float, ended_at: float, address: str = GATEWAY, *, is_core: bool = False
) -> Disturbance:
    """Return a disturbance."""
    return Disturbance(
        address=address, is_core=is_core, began_at=began_at, ended_at=ended_at
    )


DISTURBANCES: dict[str, tuple[list[Disturbance], bool]] = {
    # name: (disturbances, whether the gateway is in touch at 105 s)
    "calm": ([], True),
    "at the gateway": ([disturb(104.0, 106.0)], False),
    "just before": ([disturb(101.0, 102.5)], False),
    "long before": ([disturb(100.0, 101.5)], True),
    "after": ([disturb(105.5, 106.0)], True),
    "at another gateway": ([disturb(104.0, 106.0, "127.0.2.2")], True),
    "a registry stops": ([disturb(104.0, 109.0, "127.0.1.1", is_core=True)], False),
    "a registry starts": ([disturb(90.0, 104.0, "127.0.1.1", is_core=True)], False),
    "a registry is down": ([disturb(90.0, 109.0, "127.0.1.1", is_core=True)], True),
}


class ExposureCheckTest(unittest.TestCase):
    """A service with 200 requests by the deadline, of which 60 may go to the target."""

    def test_requests_beyond_the_limit(self) -> None:
        for name, exposed, at, record, is_violation in (
            ("at the limit", 60, 105.0, make_record(), False),
            ("beyond it", 61, 105.0, make_record(), True),
            ("a good version", 61, 105.0, make_record(flaw=""), False),
            ("after the deadline", 61, 110.5, make_record(), False),
        ):
            with self.subTest(name):
                self.assertEqual(
                    any(check_exposure(make_exposure(record, exposed, at))),
                    is_violation,
                )

    def test_only_gateways_in_touch_count(self) -> None:
        for name, (disturbances, is_in_touch) in DISTURBANCES.items():
            with self.subTest(name):
                journal = make_exposure(make_record(), 61, 105.0)
                journal.disturbances += disturbances
                self.assertEqual(any(check_exposure(journal)), is_in_touch)


def make_exposure(record: RolloutRecord, exposed: int, at: float) -> Journal:
    """Return a journal of 200 requests, of which some went to the target."""
    journal = Journal(rollouts=[record])
    for _ in range(exposed):
        add_request(journal, "new", at)

    for _ in range(200 - exposed):
        add_request(journal, "old", 105.0)

    return journal


class RollbackCheckTest(unittest.TestCase):
    """A version whose 50th bad response ended at 101 s, and one further request."""

    def test_stalls_of_the_soak_are_no_delay(self) -> None:
        for name, stalled, is_violation in (("short", 0.2, True), ("long", 2.0, False)):
            with self.subTest(name):
                journal = Journal(rollouts=[make_record(reverted_at=102.9)])
                journal.bad_responses += [BadResponse(upstream="new", at=99.5)] * 50
                stall = Stall(
                    began_at=103.0,
                    ended_at=103.0 + stalled,
                    cpu_seconds=0.0,
                    steal_seconds=0.0,
                )
                journal.stalls.append(stall)
                add_request(journal, "new", 105.2)
                self.assertEqual(any(check_rollback(journal)), is_violation)
                self.assertEqual(any(check_reverted(journal)), is_violation)

    def test_requests_after_bad_responses(self) -> None:
        core = disturb(90.0, 97.5, "127.0.1.1", is_core=True)
        for name, bad, sent_at, disturbances, is_violation in (
            ("in time", 50, 105.9, [], False),
            ("too late", 50, 106.1, [], True),
            ("few bad responses", 49, 106.1, [], False),
            ("the core is unstable since", 50, 106.1, [disturb_core(103.5)], False),
            ("the core was unstable before", 50, 106.1, [core], True),
            ("some responses came before", 50, 106.1, [disturb_core(98.5)], False),
        ):
            with self.subTest(name):
                journal = Journal(rollouts=[make_record()], disturbances=disturbances)
                journal.bad_responses += [
                    BadResponse(upstream="new", at=101.0 - 0.01 * (49 - number))
                    for number in range(bad)
                ]
                add_request(journal, "new", 106.5, sent_at=sent_at)
                self.assertEqual(any(check_rollback(journal)), is_violation)

    def test_only_gateways_in_touch_count(self) -> None:
        for name, (disturbances, is_in_touch) in DISTURBANCES.items():
            with self.subTest(name):
                journal = Journal(rollouts=[make_record()], disturbances=disturbances)
                journal.bad_responses += [BadResponse(upstream="new", at=99.5)] * 50
                add_request(journal, "new", 105.0)
                self.assertEqual(any(check_rollback(journal)), is_in_touch)


def disturb_core(ended_at: float) -> Disturbance:
    """Return a disturbance of a registry that began a second before its end."""
    return disturb(ended_at - 1.0, ended_at, "127.0.1.1", is_core=True)


class RevertedCheckTest(unittest.TestCase):
    """A roll-out that was reported as reverted at 102.9 s."""

    def test_requests_after_the_report(self) -> None:
        for name, upstream, sent_at, reverted_at, is_violation in (
            ("in time", "new", 104.8, 102.9, False),
            ("too late", "new", 105.0, 102.9, True),
            ("to the former version", "old", 105.0, 102.9, False),
            ("not reverted", "new", 105.0, float("inf"), False),
        ):
            with self.subTest(name):
                journal = Journal(rollouts=[make_record(reverted_at=reverted_at)])
                add_request(journal, upstream, 105.0, sent_at=sent_at)
                self.assertEqual(any(check_reverted(journal)), is_violation)

    def test_only_gateways_in_touch_count(self) -> None:
        for name, (disturbances, is_in_touch) in DISTURBANCES.items():
            with self.subTest(name):
                journal = Journal(rollouts=[make_record(reverted_at=102.9)])
                journal.disturbances += disturbances
                add_request(journal, "new", 105.0)
                self.assertEqual(any(check_reverted(journal)), is_in_touch)


class KeptStatesCheckTest(unittest.TestCase):
    """A roll-out that was acknowledged at 100.1 s and read as completed at 109 s."""

    def test_forgotten_states(self) -> None:
        for name, sent_at, state, target, is_violation in (
            ("in progress", 105.0, "in_progress", "v2", False),
            ("before the acknowledgement", 100.0, "", "", False),
            ("forgotten", 105.0, "", "", True),
            ("an older one", 105.0, "completed", "v1", True),
            ("still completed", 109.5, "completed", "v2", False),
            ("in progress again", 109.5, "in_progress", "v2", True),
            ("reverted after all", 109.5, "reverted", "v2", True),
            ("forgotten after its end", 109.5, "", "", True),
            ("read at the same time", 108.9, "in_progress", "v2", False),
        ):
            with self.subTest(name):
                record = make_record(completed_at=109.0)
                record.readings.append(make_reading(sent_at, state, target))
                found = any(check_kept_states(Journal(rollouts=[record])))
                self.assertEqual(found, is_violation)


def make_reading(sent_at: float, state: str, target: str = "v2") -> StateReading:
    """Return a reading of a roll-out's state."""
    return StateReading(
        sent_at=sent_at, received_at=sent_at + 0.1, state=state, target=target
    )


class CountsTest(unittest.TestCase):
    """Ends of roll-outs that are counted."""

    def test_ends(self) -> None:
        for name, changes, expected in (
            (
                "good, in time",
                {"flaw": "", "completed_at": 109.0},
                RolloutCounts(good=1),
            ),
            (
                "good, late",
                {
                    "flaw": "",
                    "completed_at": 110.5,
                    "readings": [make_reading(110.1, "in_progress")],
                },
                RolloutCounts(good=1, good_missed=1),
            ),
            (
                "good, in time after the order that arrived",
                {
                    "flaw": "",
                    "sent_at": 100.6,
                    "completed_at": 110.5,
                    "readings": [make_reading(110.1, "in_progress")],
                },
                RolloutCounts(good=1),
            ),
            (
                "good, in time, read late",
                {
                    "flaw": "",
                    "completed_at": 110.5,
                    "readings": [make_reading(109.9, "in_progress")],
                },
                RolloutCounts(good=1),
            ),
            (
                "good, reverted",
                {"flaw": "", "reverted_at": 105.0},
                RolloutCounts(good=1, good_missed=1),
            ),
            ("bad, reverted", {"reverted_at": 105.0}, RolloutCounts(bad=1)),
            (
                "bad, completed",
                {"completed_at": 109.0},
                RolloutCounts(bad=1, bad_completed=1),
            ),
            ("never acknowledged", {"acknowledged_at": float("inf")}, RolloutCounts()),
        ):
            with self.subTest(name):
                journal = Journal(rollouts=[make_record(**changes)])
                self.assertEqual(count_ends(journal), expected)

    def test_cut_streams(self) -> None:
        """The former upstreams stop at 109 s."""
        for name, upstream, run_ended_at, changes, trouble, expected in (
            ("at the completion", "old", 109.1, {}, "calm", (1, 0)),
            ("otherwise", "old", 108.0, {}, "calm", (0, 1)),
            ("complete", "old", 109.1, {"complete": True}, "calm", (0, 0)),
            ("a failure", "old", 109.1, {"status": 500}, "calm", (0, 0)),
            ("another service", "other", 108.0, {}, "calm", (0, 0)),
            ("crashes", "old", 109.1, {}, "crashes", (0, 0)),
        ):
            with self.subTest(name):
                record = make_record(completed_at=109.0, trouble=trouble)
                journal = Journal(rollouts=[record])
                fields: dict[str, Any] = {
                    "kind": "stream",
                    "status": 200,
                    "ended_at": 109.2,
                    **changes,
                }
                request = add_request(journal, upstream, 107.0, **fields)
                journal.runs.append(
                    Run(
                        request_id=request.request_id,
                        upstream=upstream,
                        path="/stream/1",
                        workspace="a",
                        saw_key=False,
                        at=107.0,
                        ended_at=run_ended_at,
                    )
                )
                counts = count_ends(journal)
                self.assertEqual((counts.cut_at_end, counts.cut_otherwise), expected)

    def test_good_versions_that_miss_their_deadline(self) -> None:
        for name, good, missed, is_violation in (
            ("few", 99, 50, False),
            ("one in a hundred", 100, 1, False),
            ("more", 100, 2, True),
        ):
            with self.subTest(name):
                parts = [
                    RolloutCounts(good=good - 1, good_missed=missed),
                    RolloutCounts(good=1),
                ]
                self.assertEqual(misses_too_many(add_counts(parts)), is_violation)


if __name__ == "__main__":
    unittest.main()
