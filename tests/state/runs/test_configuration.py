"""Randomised run: concurrent and resent changes of operators; equal replicas."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from waxwingwell.messages import Accepted
from waxwingwell.messages import Change
from waxwingwell.messages import Command
from waxwingwell.messages import Conflict
from waxwingwell.messages import Outcome
from waxwingwell.messages import Pinned
from waxwingwell.records import RolloutPace
from waxwingwell.records import RolloutStatus
from waxwingwell.records import VersionId
from waxwingwell.records import VersionStatus
from waxwingwell.state.catalogue import WITHDRAWN_STATUSES
from waxwingwell.state.machine import ControlState
from waxwingwell.state.machine import apply_command
from waxwingwell.state.machine import load_state
from waxwingwell.state.machine import save_state

from ..commands import NEW
from ..commands import OLD
from ..commands import answers
from ..commands import make_state
from ..commands import pin
from ..commands import register
from ..commands import start
from ..commands import step
from ..commands import withdraw
from .support import Run
from .support import RunTestCase


VERSIONS = st.sampled_from((OLD, NEW, VersionId("heron@3")))
LAGS = st.sampled_from((0, 0, 0, 1, 2))
"""Number of revisions by which an operator's view is outdated."""
FINAL = (RolloutStatus.COMPLETED, RolloutStatus.ROLLED_BACK)
TARGET_STATUSES = st.sampled_from((RolloutStatus.RUNNING, *RolloutStatus))
SHORT = RolloutPace(stages=(0.5, 1.0))
"""Few stages, so that runs reach the end of a roll-out."""


class ConfigurationRun(Run):
    """Changes based on possibly outdated revisions, and resends, in any order."""

    @initialize()
    def initialise(self) -> None:
        self.state = make_state()
        self.replica = make_state()
        self.base = self.state.config.config_version
        self.sent: list[tuple[Command, Outcome]] = []
        self.pinned: dict[str, VersionId] = {}
        self.accepted: dict[tuple[str, int], str] = {}
        self.statuses: dict[VersionId, VersionStatus] = {}
        self.ended: dict[str, tuple[VersionId, RolloutStatus]] = {}

    def read_revision(self, subject: str, lag: int) -> int:
        return max(0, self.state.config.revisions.get(subject, 0) - lag)

    def send(self, command: Command) -> None:
        before = self.state.config.config_version
        outcome = apply_command(self.state, command)
        self.replica_outcome = apply_command(self.replica, command)
        assert self.replica_outcome == outcome
        after = self.state.config.config_version
        assert after == before + isinstance(outcome, Accepted)
        if isinstance(command, Change) and isinstance(outcome, Accepted):
            subject_revision = (outcome.subject, outcome.revision)
            assert outcome.revision == command.expected_revision + 1, outcome
            assert subject_revision not in self.accepted, (
                f"two predecessors of {subject_revision}"
            )
            self.accepted[subject_revision] = command.change_id

        if isinstance(outcome, Conflict):
            assert outcome.current

        self.sent.append((command, outcome))

    def name_change(self) -> str:
        return f"change {len(self.sent)}"

    @rule(allowed=st.lists(VERSIONS, unique=True), lag=LAGS)
    def revise_answers(self, allowed: list[VersionId], lag: int) -> None:
        expected = self.read_revision("workspace:demo", lag)
        self.send(answers(self.name_change(), expected, *allowed))

    @rule(version=VERSIONS, lag=LAGS, status=st.sampled_from(VersionStatus))
    def register_version(
        self, version: VersionId, lag: int, status: VersionStatus
    ) -> None:
        expected = self.read_revision(f"version:{version}", lag)
        name = self.name_change()
        self.send(register(version, change_id=name, expected=expected, status=status))

    @rule(version=VERSIONS, lag=LAGS, graceful=st.booleans())
    def withdraw_version(self, version: VersionId, lag: int, graceful: bool) -> None:
        expected = self.read_revision(f"version:{version}", lag)
        self.send(withdraw(self.name_change(), expected, version, graceful=graceful))

    @rule(lag=LAGS)
    def start_rollout(self, lag: int) -> None:
        self.send(start(self.name_change(), self.read_revision("rollout:heron", lag)))

    @rule(lag=LAGS, offset=st.integers(-1, 1), status=TARGET_STATUSES)
    def step_rollout(self, lag: int, offset: int, status: RolloutStatus) -> None:
        rollout = self.state.config.rollouts.get("heron")
        stage = rollout.stage + offset if rollout is not None else 0
        expected = self.read_revision("rollout:heron", lag)
        self.send(step(self.name_change(), expected, stage, status.value))

    @rule(version=VERSIONS, session=st.sampled_from("abc"))
    def pin_session(self, version: VersionId, session: str) -> None:
        self.send(pin(session, version))
        _, outcome = self.sent[-1]
        if not isinstance(outcome, Pinned):
            return

        if session not in self.pinned:
            status = self.state.config.versions[version].status
            assert status not in WITHDRAWN_STATUSES, (
                "the session started on a withdrawn version"
            )

        first = self.pinned.setdefault(session, outcome.version)
        assert outcome.version == first, f"{session} changed its version"

    @precondition(lambda self: self.sent)
    @rule(data=st.data())
    def resend(self, data: st.DataObject) -> None:
        command, outcome = data.draw(st.sampled_from(self.sent))
        if not isinstance(command, Change):
            return

        before = save_state(self.state)
        assert apply_command(self.state, command) == outcome
        assert apply_command(self.replica, command) == outcome
        assert save_state(self.state) == before

    @rule()
    def restart_replica(self) -> None:
        self.replica = load_state(save_state(self.replica))

    @invariant()
    def replicas_are_equal(self) -> None:
        if hasattr(self, "state"):
            assert self.state == self.replica

    @invariant()
    def withdrawn_stays_withdrawn(self) -> None:
        for version, spec in self.get_state().config.versions.items():
            before = self.statuses.get(version)
            if before in WITHDRAWN_STATUSES:
                assert spec.status in WITHDRAWN_STATUSES, f"{version} is active again"

            if before is VersionStatus.WITHDRAWN:
                assert spec.status is before, f"{version} is no longer withdrawn"

            self.statuses[version] = spec.status

    @invariant()
    def rollouts_end_once(self) -> None:
        rollout = self.get_state().config.rollouts.get("heron")
        if rollout is None:
            return

        ended = self.ended.get("heron")
        if ended is not None and ended[0] == rollout.candidate:
            assert ended[1] is rollout.status, "a roll-out left its final status"

        status = self.get_state().config.versions[rollout.candidate].status
        if status in WITHDRAWN_STATUSES:
            assert rollout.status in FINAL, (
                "the candidate of an ongoing roll-out is withdrawn"
            )

        if rollout.status in FINAL:
            self.ended["heron"] = (rollout.candidate, rollout.status)
            back = rollout.status is RolloutStatus.ROLLED_BACK
            assert not back or status in WITHDRAWN_STATUSES

    def get_state(self) -> ControlState:
        return self.state if hasattr(self, "state") else ControlState()


class ConfigurationRunTest(RunTestCase):
    def test_run(self) -> None:
        """No change may be lost, be applied twice or undo a withdrawal.

        Operators base changes on the same revision and resend them after lost responses
        while the roll-out advances automatically, in any order.
        """
        self.run_machine(ConfigurationRun)
