"""Tests of compare-and-swap, change ids and the findings for each change."""

from __future__ import annotations

from dataclasses import replace
from unittest import mock

import msgspec

from waxwingwell.messages import Accepted
from waxwingwell.messages import Conflict
from waxwingwell.messages import Outcome
from waxwingwell.messages import Rejected
from waxwingwell.records import RolloutPace
from waxwingwell.records import RolloutStatus
from waxwingwell.records import VersionId
from waxwingwell.records import VersionStatus
from waxwingwell.state import configuration
from waxwingwell.state.machine import ControlState
from waxwingwell.state.machine import apply_command

from .commands import DEMO
from .commands import NEW
from .commands import OLD
from .commands import StateTestCase
from .commands import answers
from .commands import make_state
from .commands import register
from .commands import start
from .commands import step
from .commands import withdraw


def list_places(outcome: Outcome) -> list[str]:
    """Return the places of a rejection's findings."""
    assert isinstance(outcome, Rejected), outcome
    return [finding.place for finding in outcome.findings]


def make_rollout_state() -> ControlState:
    """Return a state with a running roll-out of heron@2 against heron@1."""
    state = make_state()
    outcome = apply_command(state, start("start", 0))
    assert isinstance(outcome, Accepted), outcome
    return state


class CompareAndSwapTest(StateTestCase):
    def test_one_of_two_racing_operators_wins(self) -> None:
        """Of two changes based on the same revision only the first is accepted.

        Otherwise the second operator would overwrite the change of the first one, which
        was reported as accepted.
        """
        state = make_state()
        first = apply_command(state, answers("almaz-1", 1, OLD))
        second = apply_command(state, answers("mariela-1", 1, OLD, NEW))
        self.assertEqual(
            first,
            Accepted(subject="workspace:demo", revision=2, config_version=4),
        )
        assert isinstance(second, Conflict)
        self.assertEqual((second.subject, second.revision), ("workspace:demo", 2))
        self.assertIn("allowed is ('heron@1',)", second.current)
        self.assertIn("almaz", second.current)
        self.assertEqual(state.config.workspaces[DEMO].allowed, (OLD,))
        self.assertEqual(state.config.config_version, 4)

    def test_resend_gets_the_first_outcome(self) -> None:
        """A change resent after a lost response gets its first outcome again.

        Another operator's change is accepted in between. Without the change id the
        resend would be reported as a conflict with that later change.
        """
        state = make_state()
        first = apply_command(state, answers("lost", 1, OLD))
        apply_command(state, answers("other", 2, OLD, NEW))
        version = state.config.config_version
        resent = msgspec.structs.replace(answers("lost", 1, OLD), at=77.0)
        self.assertEqual(apply_command(state, resent), first)
        self.assertEqual(state.config.config_version, version)
        self.assertEqual(state.config.workspaces[DEMO].allowed, (OLD, NEW))

    def test_refusals_are_remembered_too(self) -> None:
        state = make_state()
        conflict = apply_command(state, answers("late", 7, OLD))
        apply_command(state, answers("other", 1, OLD))
        self.assertEqual(apply_command(state, answers("late", 7, OLD)), conflict)

    def test_change_id_names_one_change(self) -> None:
        state = make_state()
        apply_command(state, answers("same", 1, OLD))
        outcome = apply_command(state, answers("same", 1, NEW))
        self.assertEqual(list_places(outcome), ["change_id"])

    def test_forgotten_change_is_not_applied_twice(self) -> None:
        state = make_state()
        with mock.patch.object(configuration, "MAX_REMEMBERED_CHANGES", 4):
            apply_command(state, answers("old", 1, OLD))
            for number in range(5):
                apply_command(state, answers(f"x{number}", 2 + number, OLD, NEW))

            self.assertEqual(len(state.config.changes), 4)
            outcome = apply_command(state, answers("old", 1, OLD))

        self.assertIsInstance(outcome, Conflict)
        self.assertEqual(state.config.workspaces[DEMO].allowed, (OLD, NEW))


class FindingsTest(StateTestCase):
    def test_answers(self) -> None:
        unknown = VersionId("owl@9")
        good = answers("x", 1, OLD)
        twice = replace(good.config, kinds=good.config.kinds * 2)
        other = replace(good.config, default_kind="tag", allowed=(unknown, OLD))
        cases = (
            ("unknown version", answers("x", 1, OLD, unknown), ["allowed.1"]),
            (
                "kind twice",
                msgspec.structs.replace(good, config=twice),
                ["kinds.1.name"],
            ),
            (
                "two faults",
                msgspec.structs.replace(good, config=other),
                ["allowed.0", "default_kind"],
            ),
            (
                "long answers",
                msgspec.structs.replace(good, answers=b"x" * 70_000),
                ["answers"],
            ),
            (
                "no id",
                msgspec.structs.replace(good, change_id="", operator=""),
                ["change_id", "operator"],
            ),
        )
        for name, change, places in cases:
            with self.subTest(name):
                state = make_state()
                outcome = apply_command(state, change)
                self.assertEqual(list_places(outcome), places)
                self.assertEqual(state.config.config_version, 3)

    def test_withdrawn_version_is_not_newly_allowed(self) -> None:
        state = make_state()
        apply_command(state, answers("narrow", 1, OLD))
        apply_command(state, withdraw("w", 1, NEW))
        widened = apply_command(state, answers("widen", 2, OLD, NEW))
        self.assertEqual(list_places(widened), ["allowed.1"])
        apply_command(state, withdraw("v", 1, OLD))
        kept = apply_command(state, answers("keep", 2, OLD))
        self.assertIsInstance(kept, Accepted)

    def test_registration(self) -> None:
        withdrawn = VersionStatus.WITHDRAWN
        cases = (
            ("name", register(VersionId("heron")), ["version"]),
            (
                "price",
                register(VersionId("owl@1"), price=-1),
                ["price_in", "price_out"],
            ),
            (
                "initially withdrawn",
                register(VersionId("owl@1"), status=withdrawn),
                ["status"],
            ),
            ("status changed", register(NEW, expected=1), ["status"]),
        )
        for name, change, places in cases:
            with self.subTest(name):
                outcome = apply_command(make_state(), change)
                self.assertEqual(list_places(outcome), places)

    def test_withdrawal(self) -> None:
        state = make_state()
        owl = VersionId("owl@1")
        self.assertEqual(
            list_places(apply_command(state, withdraw("a", 0, owl))), ["version"]
        )
        graceful = apply_command(state, withdraw("b", 1, OLD, graceful=True))
        self.assertIsInstance(graceful, Accepted)
        again = apply_command(state, withdraw("c", 2, OLD, graceful=True))
        self.assertEqual(list_places(again), ["version"])
        self.assertIsInstance(apply_command(state, withdraw("d", 2, OLD)), Accepted)
        self.assertIs(state.config.versions[OLD].status, VersionStatus.WITHDRAWN)
        softer = apply_command(state, withdraw("e", 3, OLD, graceful=True))
        self.assertEqual(list_places(softer), ["version"])


class RolloutTest(StateTestCase):
    def test_transitions(self) -> None:
        """Check the allowed and rejected transitions from each status."""
        running = (("advance", 1, "running"),)
        to_last_stage = tuple(("advance", number, "running") for number in range(1, 5))
        paused = (*running, ("pause", 1, "paused"))
        completed = (*to_last_stage, ("done", 4, "completed"))
        rolled_back = (*running, ("back", 0, "rolled_back"))
        cases = (
            (running, 2, "running", None),
            (running, 0, "running", None),
            (running, 1, "running", "stage"),
            (running, 3, "running", "stage"),
            (running, 1, "paused", None),
            (running, 2, "paused", "stage"),
            (running, 1, "completed", "stage"),
            (running, 4, "completed", "stage"),
            (running, 0, "rolled_back", None),
            (running, 5, "running", "stage"),
            (running, -1, "running", "stage"),
            (running, 1, "sideways", "status"),
            (to_last_stage, 4, "completed", None),
            (paused, 1, "running", None),
            (paused, 0, "running", None),
            (paused, 2, "running", "stage"),
            (paused, 1, "paused", "status"),
            (paused, 1, "completed", "status"),
            (paused, 1, "rolled_back", None),
            (completed, 4, "running", "status"),
            (completed, 4, "rolled_back", "status"),
            (rolled_back, 1, "running", "status"),
            (rolled_back, 4, "completed", "status"),
        )
        for steps, stage, status, place in cases:
            with self.subTest(steps=steps[-1:], stage=stage, status=status):
                state = make_rollout_state()
                for number, (name, to_stage, to_status) in enumerate(steps):
                    change = step(f"{name} {number}", number + 1, to_stage, to_status)
                    self.assertIsInstance(apply_command(state, change), Accepted)

                change = step("last", len(steps) + 1, stage, status)
                outcome = apply_command(state, change)
                if place is None:
                    self.assertIsInstance(outcome, Accepted)
                else:
                    self.assertEqual(list_places(outcome), [place])

    def test_versions_follow_the_rollout(self) -> None:
        ends = (
            ("completed", VersionStatus.ACTIVE, VersionStatus.ENDING),
            ("rolled_back", VersionStatus.WITHDRAWN, VersionStatus.ACTIVE),
        )
        for status, candidate, incumbent in ends:
            with self.subTest(status):
                state = make_rollout_state()
                for number in range(1, 5):
                    apply_command(
                        state, step(f"on {number}", number, number, "running")
                    )

                apply_command(state, step("end", 5, 4, status))
                self.assertIs(state.config.versions[NEW].status, candidate)
                self.assertIs(state.config.versions[OLD].status, incumbent)

    def test_start_findings(self) -> None:
        def start_with(**changes: object) -> Outcome:
            change = msgspec.structs.replace(start("s", 0), **changes)
            return apply_command(make_state(), change)

        cases = (
            ({"candidate": OLD}, ["candidate"]),
            ({"candidate": VersionId("heron@9")}, ["candidate"]),
            ({"incumbent": NEW, "candidate": OLD}, ["incumbent"]),
            ({"model": "owl"}, ["candidate", "incumbent"]),
            ({"pace": RolloutPace(stages=())}, ["pace.stages"]),
            ({"pace": RolloutPace(stages=(0.5, 0.2, 1))}, ["pace.stages"]),
            ({"pace": RolloutPace(stages=(0, 1))}, ["pace.stages"]),
        )
        for changes, places in cases:
            with self.subTest(changes):
                self.assertEqual(list_places(start_with(**changes)), places)

        state = make_rollout_state()
        second = apply_command(state, start("again", 1))
        self.assertEqual(list_places(second), ["model"])

    def test_withdrawn_version_is_not_rolled_out(self) -> None:
        state = make_state()
        apply_command(state, withdraw("w", 1, NEW))
        outcome = apply_command(state, start("s", 0))
        self.assertEqual(list_places(outcome), ["candidate"])

    def test_withdrawal_of_the_candidate_ends_the_rollout(self) -> None:
        """A late step must not reactivate a candidate that was withdrawn.

        The roll-out decides on its last step, an operator withdraws the version, then
        the step arrives. If it were accepted, the faulty version would become active
        and get all new sessions.
        """
        state = make_rollout_state()
        for number in range(1, 5):
            apply_command(state, step(f"on {number}", number, number, "running"))

        revision = state.config.revisions["version:heron@2"]
        self.assertIsInstance(
            apply_command(state, withdraw("bad", revision, NEW)), Accepted
        )
        rollout = state.config.rollouts["heron"]
        self.assertIs(rollout.status, RolloutStatus.ROLLED_BACK)
        for expected in (5, 6):
            with self.subTest(expected=expected):
                late = step(f"late {expected}", expected, 4, "completed")
                self.assertNotIsInstance(apply_command(state, late), Accepted)
                status = state.config.versions[NEW].status
                self.assertIs(status, VersionStatus.WITHDRAWN)

    def test_completion_does_not_revive_a_withdrawn_incumbent(self) -> None:
        """Completing a roll-out must not change the status of a withdrawn incumbent.

        The incumbent is withdrawn at the last stage, then the roll-out completes.
        Setting the incumbent to "ending" would give its pinned sessions new work again.
        """
        state = make_rollout_state()
        for number in range(1, 5):
            apply_command(state, step(f"on {number}", number, number, "running"))

        apply_command(state, withdraw("bad", 1, OLD))
        completed = apply_command(state, step("done", 5, 4, "completed"))
        self.assertIsInstance(completed, Accepted)
        self.assertIs(state.config.versions[OLD].status, VersionStatus.WITHDRAWN)
        self.assertIs(state.config.versions[NEW].status, VersionStatus.ACTIVE)
