"""Tests of the configuration sent to entries: full snapshots and deltas."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import strategies as st

from waxwingwell.messages import ConfigSnapshot
from waxwingwell.records import WorkspaceId
from waxwingwell.state.catalogue import make_delta
from waxwingwell.state.machine import ControlState
from waxwingwell.state.machine import apply_command
from waxwingwell.state.machine import load_state
from waxwingwell.state.machine import make_snapshot
from waxwingwell.state.machine import save_state

from .commands import NEW
from .commands import OLD
from .commands import StateTestCase
from .commands import answers
from .commands import register
from .commands import start
from .commands import withdraw


if TYPE_CHECKING:
    from waxwingwell.messages import Command


WORKSPACES = tuple(WorkspaceId(f"w{number}") for number in range(4))


def make_change(state: ControlState, number: int, choice: int) -> Command:
    """Return one of several changes, based on its subject's current revision."""
    revisions = state.config.revisions
    name = f"change-{number}"
    if choice < len(WORKSPACES):
        workspace = WORKSPACES[choice]
        revision = revisions.get(f"workspace:{workspace}", 0)
        return answers(name, revision, OLD, workspace=workspace)

    if choice == len(WORKSPACES):
        return start(name, revisions.get("rollout:heron", 0))

    return withdraw(name, revisions.get(f"version:{NEW}", 0), NEW)


def merge(current: ConfigSnapshot, update: ConfigSnapshot) -> ConfigSnapshot:
    """Merge an update as an entry does, sorted for comparison."""
    if not update.since:
        current = ConfigSnapshot(config_version=0)

    workspaces = {
        item.workspace: item for item in current.workspaces + update.workspaces
    }
    versions = {item.version: item for item in current.versions + update.versions}
    rollouts = {item.model: item for item in current.rollouts + update.rollouts}
    return ConfigSnapshot(
        config_version=update.config_version,
        workspaces=tuple(workspaces[name] for name in sorted(workspaces)),
        versions=tuple(versions[name] for name in sorted(versions)),
        rollouts=tuple(rollouts[name] for name in sorted(rollouts)),
    )


class DeltaTest(StateTestCase):
    """Merging deltas gives the same configuration as the full snapshot."""

    @given(steps=st.lists(st.tuples(st.integers(0, 5), st.booleans()), max_size=25))
    def test_merged_deltas_equal_the_full_snapshot(
        self, steps: list[tuple[int, bool]]
    ) -> None:
        # An entry that missed some changes must not keep an outdated part of the
        # configuration: a withdrawn version would still receive work there.
        state = ControlState()
        for version in (OLD, NEW):
            apply_command(state, register(version))

        current = merge(ConfigSnapshot(config_version=0), make_delta(state.config, 0))
        for number, (choice, fetch) in enumerate(steps):
            apply_command(state, make_change(state, number, choice))
            if choice == 3:
                state = load_state(save_state(state))

            if fetch:
                current = merge(
                    current, make_delta(state.config, current.config_version)
                )

        current = merge(current, make_delta(state.config, current.config_version))
        full = merge(ConfigSnapshot(config_version=0), make_snapshot(state))
        self.assertEqual(current, full)

    def test_unknown_version_gets_the_full_snapshot(self) -> None:
        state = ControlState()
        apply_command(state, register(OLD))
        for since in (-1, 0, 99):
            with self.subTest(since):
                self.assertEqual(make_delta(state.config, since).since, 0)

    def test_delta_holds_only_what_changed(self) -> None:
        state = ControlState()
        apply_command(state, register(OLD))
        for workspace in WORKSPACES:
            apply_command(state, answers(f"a-{workspace}", 0, OLD, workspace=workspace))

        before = state.config.config_version
        apply_command(state, answers("again", 1, OLD, workspace=WORKSPACES[2]))
        delta = make_delta(state.config, before)
        self.assertEqual([w.workspace for w in delta.workspaces], [WORKSPACES[2]])
        self.assertEqual((delta.versions, delta.rollouts), ((), ()))
