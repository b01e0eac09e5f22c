"""Tests of the state machine as a whole: commands and images."""

from __future__ import annotations

from waxwingwell.messages import Accepted
from waxwingwell.messages import Pinned
from waxwingwell.messages import Recorded
from waxwingwell.messages import RecordEvidence
from waxwingwell.messages import Rejected
from waxwingwell.messages import Reserved
from waxwingwell.records import Evidence
from waxwingwell.state.exceptions import ImageError
from waxwingwell.state.machine import ControlState
from waxwingwell.state.machine import apply_command
from waxwingwell.state.machine import load_state
from waxwingwell.state.machine import make_snapshot
from waxwingwell.state.machine import save_state
from waxwingwell.state.machine import stamp_command

from .commands import BOLE
from .commands import DEMO
from .commands import NEW
from .commands import OLD
from .commands import StateTestCase
from .commands import answers
from .commands import make_state
from .commands import pin
from .commands import register
from .commands import reserve
from .commands import settle
from .commands import start
from .commands import step


def make_evidence(sequence: int, incarnation: int = 1) -> RecordEvidence:
    row = Evidence(OLD, DEMO, "question", rated=1, total=0.5, squares=0.25, sent=2)
    return RecordEvidence(
        entry=BOLE, incarnation=incarnation, sequence=sequence, rows=(row,)
    )


class MachineTest(StateTestCase):
    def test_image_round_trip(self) -> None:
        state = make_state()
        for command in (
            pin("bay-3", OLD),
            reserve("r1"),
            settle("r1"),
            reserve("r2", key="order-2"),
            make_evidence(1),
        ):
            apply_command(state, command)

        loaded = load_state(save_state(state))
        self.assertEqual(loaded, state)
        self.assertEqual(save_state(loaded), save_state(state))

    def test_damaged_image_is_rejected(self) -> None:
        image = save_state(make_state())
        for name, data in (
            ("empty", b""),
            ("cut", image[:-3]),
            ("other", b"\x93\x01\x02\x03"),
        ):
            with self.subTest(name), self.assertRaises(ImageError):
                load_state(data)

    def test_snapshot_follows_the_version(self) -> None:
        state = make_state()
        first = make_snapshot(state)
        self.assertIs(first, make_snapshot(state))
        outcome = apply_command(state, answers("second", 1, OLD))
        self.assertIsInstance(outcome, Accepted)
        second = make_snapshot(state)
        self.assertEqual(second.config_version, first.config_version + 1)
        self.assertEqual(second.workspaces[0].revision, 2)
        self.assertEqual(second.workspaces[0].allowed, (OLD,))

    def test_evidence_is_counted_once(self) -> None:
        state = ControlState()
        changed = [
            apply_command(state, command)
            for command in (
                make_evidence(1),
                make_evidence(1),
                make_evidence(2),
                make_evidence(1),
                make_evidence(1, incarnation=2),
                make_evidence(9, incarnation=1),
            )
        ]
        self.assertEqual(
            changed,
            [
                Recorded(changed=is_new)
                for is_new in (True, False, True, False, True, False)
            ],
        )
        (row,) = state.evidence.totals.values()
        self.assertEqual((row.rated, row.sent, row.total), (3, 6, 1.5))

    def test_stage_starts_with_the_evidence_of_its_versions(self) -> None:
        state = make_state()
        apply_command(state, make_evidence(1))
        apply_command(state, start("s", 0))
        self.assertEqual(state.config.rollouts["heron"].base[0].rated, 1)
        apply_command(state, make_evidence(2))
        apply_command(state, step("pause", 1, 0, "paused"))
        apply_command(state, step("resume", 2, 0, "running"))
        rollout = state.config.rollouts["heron"]
        self.assertEqual((rollout.base[0].rated, rollout.stage_at), (1, 3.0))
        apply_command(state, step("on", 3, 1, "running"))
        rollout = state.config.rollouts["heron"]
        self.assertEqual((rollout.base[0].rated, rollout.stage_at), (2, 4.0))

    def test_first_pin_wins(self) -> None:
        state = make_state()
        self.assertEqual(apply_command(state, pin("s", OLD)), Pinned(version=OLD))
        self.assertEqual(apply_command(state, pin("s", NEW)), Pinned(version=OLD))

    def test_stamp_replaces_every_time(self) -> None:
        for command in (register(OLD), settle("r"), pin("s", OLD)):
            self.assertEqual(stamp_command(command, 99.0).at, 99.0)  # type: ignore[union-attr]

        stamped = stamp_command(reserve("r"), 99.0)
        self.assertEqual(stamped.row.reserved_at, 99.0)  # type: ignore[union-attr]

    def test_reservation_outcomes(self) -> None:
        state = make_state()
        self.assertEqual(apply_command(state, reserve("r1")), Reserved())
        outcome = apply_command(state, reserve("r2", digest="other"))
        assert isinstance(outcome, Rejected)
        self.assertEqual(outcome.findings[0].place, "key")
