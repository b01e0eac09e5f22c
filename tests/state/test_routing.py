"""Tests of the replicated state of a routing group."""

from __future__ import annotations

import unittest

from tests.routing.factories import make_document
from waxwingwell.routing.messages import BeginRollout
from waxwingwell.routing.messages import EndRollout
from waxwingwell.routing.messages import GrowRollout
from waxwingwell.routing.messages import Publish
from waxwingwell.routing.messages import RoutingCommand
from waxwingwell.state.routing import RoutingState
from waxwingwell.state.routing import apply_routing
from waxwingwell.state.routing import load_routing
from waxwingwell.state.routing import save_routing
from waxwingwell.state.routing import version_of


def publish(version: int, source: bytes = b"") -> Publish:
    """Return the publication of a document version."""
    return Publish(document=make_document(version=version), source=source)


def start(target: str = "v2", at: float = 100.0) -> BeginRollout:
    """Return an order to start a roll-out."""
    return BeginRollout(service="chat", target=target, duration=20.0, ordered_at=at)


class PublishTest(unittest.TestCase):
    """Publication of documents."""

    def test_only_higher_versions_take_effect(self) -> None:
        """The document with the highest version stays, whatever the order of changes.

        Operators may publish concurrently, and old changes may arrive again. Of two
        contents with the same version, the first one is kept.
        """
        for name, versions, expected in (
            ("in order", [1, 2, 5], (5, b"2")),
            ("older versions later", [5, 1, 2], (5, b"0")),
            ("different content for one version", [3, 3], (3, b"0")),
        ):
            with self.subTest(name):
                state = RoutingState()
                for place, version in enumerate(versions):
                    apply_routing(state, publish(version, str(place).encode()))

                self.assertEqual((version_of(state), state.source), expected)

    def test_saved_state_round_trip(self) -> None:
        state = RoutingState()
        both: tuple[RoutingCommand, ...] = (publish(3, b"x"), start())
        for command in both:
            apply_routing(state, command)

        loaded = load_routing(save_routing(state))
        self.assertEqual(loaded, state)
        self.assertEqual(load_routing(save_routing(RoutingState())), RoutingState())


class RolloutTest(unittest.TestCase):
    """Orders, steps and outcomes of roll-outs."""

    def test_commands(self) -> None:
        grow = GrowRollout(service="chat", target="v2", ordered_at=100.0, share=0.3)
        shrink = GrowRollout(service="chat", target="v2", ordered_at=100.0, share=0.1)
        complete = EndRollout(
            service="chat", target="v2", ordered_at=100.0, completed=True
        )
        revert = EndRollout(
            service="chat", target="v2", ordered_at=100.0, completed=False
        )
        stale = EndRollout(
            service="chat", target="v2", ordered_at=50.0, completed=False
        )
        cases: tuple[tuple[str, list[RoutingCommand], tuple[str, str, float]], ...] = (
            ("started", [start()], ("v2", "in_progress", 0.0)),
            ("share raised", [start(), grow], ("v2", "in_progress", 0.3)),
            (
                "share never decreases",
                [start(), grow, shrink],
                ("v2", "in_progress", 0.3),
            ),
            ("completed", [start(), complete], ("v2", "completed", 1.0)),
            ("reverted", [start(), grow, revert], ("v2", "reverted", 0.0)),
            ("finishes once", [start(), complete, revert], ("v2", "completed", 1.0)),
            ("outcome of an older order", [start(), stale], ("v2", "in_progress", 0.0)),
            ("a resend", [start(), grow, start(at=102.0)], ("v2", "in_progress", 0.3)),
            (
                "a resend after completion",
                [start(), complete, start(at=102.0)],
                ("v2", "completed", 1.0),
            ),
            (
                "a new attempt",
                [start(), revert, start(at=200.0)],
                ("v2", "in_progress", 0.0),
            ),
            (
                "the next version",
                [start(), complete, start("v3", 200.0)],
                ("v3", "in_progress", 0.0),
            ),
        )
        for name, commands, expected in cases:
            with self.subTest(name):
                state = RoutingState()
                for command in commands:
                    apply_routing(state, command)

                rollout = state.rollouts["chat"]
                self.assertEqual(
                    (rollout.target, rollout.state, rollout.share), expected
                )

    def test_previous_version_is_remembered(self) -> None:
        state = RoutingState()
        commands: tuple[RoutingCommand, ...] = (
            start(),
            EndRollout(service="chat", target="v2", ordered_at=100.0, completed=True),
            start("v3", 200.0),
        )
        for command in commands:
            apply_routing(state, command)

        self.assertEqual(state.rollouts["chat"].former, "v2")
