"""Tests of the replicated state of a routing group."""

from __future__ import annotations

import itertools
import unittest

import msgspec

from tests.routing.factories import make_document
from waxwingwell.routing.messages import BeginRollout
from waxwingwell.routing.messages import EndRollout
from waxwingwell.routing.messages import GrowRollout
from waxwingwell.routing.messages import Publish
from waxwingwell.routing.messages import RoutingCommand
from waxwingwell.routing.messages import SetEvacuation
from waxwingwell.state.routing import RoutingState
from waxwingwell.state.routing import apply_routing
from waxwingwell.state.routing import decode_command
from waxwingwell.state.routing import list_evacuated
from waxwingwell.state.routing import load_routing
from waxwingwell.state.routing import save_routing
from waxwingwell.state.routing import version_of


def publish(version: int, source: bytes = b"") -> Publish:
    """Return the publication of a document version."""
    return Publish(document=make_document(version=version), source=source)


def start(
    target: str = "v2", at: float = 100.0, revision: int | None = None
) -> BeginRollout:
    """Return an order to start a roll-out, received at a revision."""
    return BeginRollout(
        service="chat", target=target, duration=20.0, ordered_at=at, revision=revision
    )


def end(target: str = "v2", at: float = 100.0, *, completed: bool = True) -> EndRollout:
    """Return the end of a roll-out."""
    return EndRollout(service="chat", target=target, ordered_at=at, completed=completed)


def evacuate(revision: int) -> SetEvacuation:
    """Return an order to evacuate a data centre, received at a revision."""
    return SetEvacuation(data_centre="north", active=True, revision=revision)


def withdraw(revision: int) -> SetEvacuation:
    """Return an order to withdraw an evacuation, received at a revision."""
    return SetEvacuation(data_centre="north", active=False, revision=revision)


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
        both: tuple[RoutingCommand, ...] = (publish(3, b"x"), start(), evacuate(0))
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

    def test_late_orders(self) -> None:
        """Guards against a delayed order that replaces or repeats a later roll-out."""
        reverted: list[RoutingCommand] = [start(revision=0), end(completed=False)]
        newer: list[RoutingCommand] = [start(revision=0), end(), start("v3", 110.0, 1)]
        cases: tuple[tuple[str, list[RoutingCommand], bool, tuple[str, str]], ...] = (
            ("first", [start(revision=0)], True, ("v2", "in_progress")),
            (
                "resent to a member that lags",
                [start(revision=0), start(at=102.0, revision=0)],
                True,
                ("v2", "in_progress"),
            ),
            (
                "after its roll-out was rolled back",
                [*reverted, start(at=109.0, revision=0)],
                False,
                ("v2", "reverted"),
            ),
            (
                "ordered again",
                [*reverted, start(at=109.0, revision=1)],
                True,
                ("v2", "in_progress"),
            ),
            (
                "while a later one is in progress",
                [*newer, start(at=112.0, revision=0)],
                False,
                ("v3", "in_progress"),
            ),
            (
                "after a later one was completed",
                [*newer, end("v3", 110.0), start(at=112.0, revision=1)],
                False,
                ("v3", "completed"),
            ),
            (
                "by an earlier release",
                [*reverted, start(at=200.0)],
                True,
                ("v2", "in_progress"),
            ),
        )
        for name, commands, held, expected in cases:
            with self.subTest(name):
                state = RoutingState()
                found = [apply_routing(state, command) for command in commands]
                self.assertEqual(found, [True] * (len(commands) - 1) + [held])
                rollout = state.rollouts["chat"]
                self.assertEqual((rollout.target, rollout.state), expected)

    def test_data_of_a_release_without_revisions_is_read(self) -> None:
        state = RoutingState()
        apply_routing(state, start())
        fields = msgspec.msgpack.decode(save_routing(state))
        del fields["rollouts"][0]["revision"]
        loaded = load_routing(msgspec.msgpack.encode(fields))
        self.assertEqual(loaded.rollouts["chat"].target, "v2")
        command = msgspec.msgpack.decode(msgspec.msgpack.encode(start()))
        del command["revision"]
        self.assertEqual(decode_command(msgspec.msgpack.encode(command)), start())

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


class EvacuationTest(unittest.TestCase):
    """Orders to evacuate a data centre, and their withdrawal."""

    def test_orders(self) -> None:
        """An order that later ones have overtaken changes nothing.

        Guards against a resent order that is executed after its withdrawal and keeps a
        data centre evacuated for good.
        """
        for name, commands, accepted, evacuated in (
            ("ordered", [evacuate(0)], [True], ("north",)),
            ("resent", [evacuate(0), evacuate(0)], [True, True], ("north",)),
            ("withdrawn", [evacuate(0), withdraw(1)], [True, True], ()),
            (
                "withdrawn twice",
                [evacuate(0), withdraw(1), withdraw(1)],
                [True] * 3,
                (),
            ),
            ("nothing to withdraw", [withdraw(0)], [True], ()),
            (
                "late order",
                [evacuate(0), withdraw(1), evacuate(0)],
                [True, True, False],
                (),
            ),
            (
                "late withdrawal",
                [evacuate(0), withdraw(1), evacuate(2), withdraw(1)],
                [True, True, True, False],
                ("north",),
            ),
            (
                "late order after a withdrawal that had nothing to withdraw",
                [withdraw(0), evacuate(0)],
                [True, False],
                (),
            ),
            (
                "late withdrawal after an order that was in place",
                [evacuate(0), evacuate(1), withdraw(1)],
                [True, True, False],
                ("north",),
            ),
            (
                "withdrawal received by a member that lags",
                [evacuate(0), withdraw(0)],
                [True, False],
                ("north",),
            ),
        ):
            with self.subTest(name):
                state = RoutingState()
                found = [apply_routing(state, command) for command in commands]
                self.assertEqual(found, accepted)
                self.assertEqual(list_evacuated(state), evacuated)

    def test_the_last_accepted_order_holds(self) -> None:
        """Orders and resends that overlap in any order leave what was accepted last.

        The operator sends an order again until it is accepted, then the next one.
        """
        orders = [evacuate(0), withdraw(1), evacuate(2)]
        for late in itertools.product((0, 1, 2), repeat=3):
            with self.subTest(late=late):
                state = RoutingState()
                for step, command in enumerate(orders):
                    self.assertTrue(apply_routing(state, command))
                    for one in late:
                        if one <= step:
                            apply_routing(state, orders[one])

                    self.assertEqual(bool(list_evacuated(state)), command.active)

    def test_data_of_a_release_without_evacuations_is_read(self) -> None:
        state = RoutingState()
        apply_routing(state, publish(3, b"x"))
        fields = msgspec.msgpack.decode(save_routing(state))
        del fields["evacuations"]
        self.assertEqual(load_routing(msgspec.msgpack.encode(fields)), state)

    def test_an_order_is_stored_in_the_log(self) -> None:
        encoded = msgspec.msgpack.encode(evacuate(4))
        self.assertEqual(decode_command(encoded), evacuate(4))
