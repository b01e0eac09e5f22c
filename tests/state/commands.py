"""Factories for the commands and records used by the state tests."""

from __future__ import annotations

import unittest

from waxwingwell.invariants import BREACHES
from waxwingwell.messages import ApplyAnswers
from waxwingwell.messages import PinSession
from waxwingwell.messages import RegisterVersion
from waxwingwell.messages import Reserve
from waxwingwell.messages import Settle
from waxwingwell.messages import SettleAbandoned
from waxwingwell.messages import StartRollout
from waxwingwell.messages import StepRollout
from waxwingwell.messages import WithdrawVersion
from waxwingwell.records import EntryId
from waxwingwell.records import LedgerRow
from waxwingwell.records import OutcomeKind
from waxwingwell.records import Priority
from waxwingwell.records import StoredResponse
from waxwingwell.records import Usage
from waxwingwell.records import VersionId
from waxwingwell.records import VersionSpec
from waxwingwell.records import VersionStatus
from waxwingwell.records import WorkKind
from waxwingwell.records import WorkspaceConfig
from waxwingwell.records import WorkspaceId
from waxwingwell.state.machine import ControlState
from waxwingwell.state.machine import apply_command


DEMO = WorkspaceId("demo")
OLD = VersionId("heron@1")
NEW = VersionId("heron@2")
BOLE = EntryId("bole-1")
CMC = EntryId("cmc-1")
QUESTION = WorkKind("question", Priority.QUESTION, 0.8)


class StateTestCase(unittest.TestCase):
    """A test case in which a breached invariant raises an error."""

    def setUp(self) -> None:
        """Enable errors on breaches for the duration of the test."""
        before = BREACHES.raise_on_breach
        BREACHES.raise_on_breach = True
        self.addCleanup(setattr, BREACHES, "raise_on_breach", before)


def make_config(*allowed: VersionId, workspace: WorkspaceId = DEMO) -> WorkspaceConfig:
    """Return a minimal workspace configuration."""
    return WorkspaceConfig(workspace, 0, allowed, (QUESTION,))


def answers(
    change_id: str, expected: int, *allowed: VersionId, workspace: WorkspaceId = DEMO
) -> ApplyAnswers:
    """Return a change that applies a workspace's answers."""
    return ApplyAnswers(
        change_id=change_id,
        operator="almaz",
        expected_revision=expected,
        at=1.0,
        answers=b"{}",
        config=make_config(*allowed, workspace=workspace),
    )


def register(
    version: VersionId,
    *,
    change_id: str = "",
    expected: int = 0,
    status: VersionStatus = VersionStatus.ACTIVE,
    price: float = 1.0,
) -> RegisterVersion:
    """Return a change that registers a version."""
    model = version.partition("@")[0]
    return RegisterVersion(
        change_id=change_id or f"register {version} {expected}",
        operator="almaz",
        expected_revision=expected,
        at=1.0,
        spec=VersionSpec(version, model, price, price, status=status),
    )


def withdraw(
    change_id: str, expected: int, version: VersionId, *, graceful: bool = False
) -> WithdrawVersion:
    """Return a change that withdraws a version."""
    return WithdrawVersion(
        change_id=change_id,
        operator="mariela",
        expected_revision=expected,
        at=2.0,
        version=version,
        graceful=graceful,
    )


def start(change_id: str, expected: int) -> StartRollout:
    """Return a change that starts the roll-out of heron@2."""
    return StartRollout(
        change_id=change_id,
        operator="almaz",
        expected_revision=expected,
        at=3.0,
        model="heron",
        candidate=NEW,
        incumbent=OLD,
    )


def step(change_id: str, expected: int, stage: int, status: str) -> StepRollout:
    """Return a step of heron's roll-out."""
    return StepRollout(
        change_id=change_id,
        operator="rollouts",
        expected_revision=expected,
        at=4.0,
        model="heron",
        stage=stage,
        status=status,
    )


def reserve(
    request: str,
    *,
    key: str = "order-1",
    entry: EntryId = BOLE,
    incarnation: int = 1,
    repeatable: bool = False,
    digest: str = "d",
    at: float = 10.0,
) -> Reserve:
    """Return the reservation of a request's ledger row."""
    return Reserve(
        row=LedgerRow(
            workspace=DEMO,
            key=key,
            request=request,
            entry=entry,
            entry_incarnation=incarnation,
            repeatable=repeatable,
            digest=digest,
            reserved_at=at,
        )
    )


def settle(
    request: str,
    outcome: OutcomeKind = OutcomeKind.COMPLETED,
    *,
    key: str = "order-1",
    cost: int = 7,
    body: bytes = b"clubs ordered",
    at: float = 11.0,
) -> Settle:
    """Return the settlement of a request."""
    ran = outcome is not OutcomeKind.NOT_RUN
    return Settle(
        workspace=DEMO,
        key=key,
        request=request,
        outcome=outcome,
        at=at,
        usage=Usage(3, 4, cost) if ran else Usage(),
        answer=StoredResponse(200, "text/plain", body) if ran else None,
    )


def abandon(below: int, *, entry: EntryId = BOLE, at: float = 12.0) -> SettleAbandoned:
    """Return the sweep of an entry's older incarnations."""
    return SettleAbandoned(entry=entry, below_incarnation=below, at=at)


def pin(session: str, version: VersionId, at: float = 5.0) -> PinSession:
    """Return the command that pins a session."""
    return PinSession(workspace=DEMO, session=session, version=version, at=at)


def make_state() -> ControlState:
    """Return a state with heron@1, heron@2 and a workspace that allows both."""
    state = ControlState()
    apply_command(state, register(OLD))
    apply_command(state, register(NEW, status=VersionStatus.CANDIDATE))
    apply_command(state, answers("first answers", 0, OLD, NEW))
    return state
