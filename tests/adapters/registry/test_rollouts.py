"""Roll-outs while gateways restart, stand still or are upgraded."""

from __future__ import annotations

import unittest
from typing import Any
from unittest.mock import patch

from tests.adapters.gateway.support import note_lines
from tests.routing.factories import make_rollout
from waxwingwell.adapters.registry import rollouts
from waxwingwell.adapters.registry.hub import REPORT_SECONDS
from waxwingwell.adapters.registry.hub import handle_connection
from waxwingwell.adapters.registry.hub import share_reports
from waxwingwell.routing.messages import EndRollout
from waxwingwell.routing.messages import FleetReport
from waxwingwell.routing.messages import GatewayReport
from waxwingwell.routing.messages import GrowRollout
from waxwingwell.routing.messages import RolloutState
from waxwingwell.routing.messages import VersionEvidence
from waxwingwell.routing.reports import REPORT_LIFE
from waxwingwell.routing.reports import take_report
from waxwingwell.routing.rollouts import FIRST_SHARE

from .support import make_registry


DURATION = 20.0
ORDER_INDEX = 7
FORMER = VersionEvidence(
    service="chat", version="v1", answers=100, failures=1, seconds=10.0
)


def make_evidence(answers: int, failures: int = 0) -> tuple[VersionEvidence, ...]:
    """Return what a gateway tells of the target."""
    return (
        VersionEvidence(
            service="chat",
            version="v2",
            answers=answers,
            failures=failures,
            seconds=0.1 * answers,
        ),
    )


class Leader:
    """A leading registry; the commands that it submits are carried out at once."""

    def __init__(self) -> None:
        self.registry = make_registry()
        self.context = self.registry.context
        self.rollout: RolloutState = make_rollout(
            share=FIRST_SHARE, duration=DURATION, ordered_at=0.0
        )
        self.ended: list[bool] = []

    def report(
        self, gateway: str, *evidence: VersionEvidence, held: int = ORDER_INDEX
    ) -> None:
        """Take a gateway's report."""
        report = GatewayReport(gateway=gateway, use=(), evidence=evidence, held=held)
        take_report(self.context.reports, report, self.context.clock())

    def step(self) -> None:
        """Look at the evidence, then let time pass until the next look."""
        share_reports(self.context, self.context.clock())
        if not self.ended:
            with patch.object(rollouts, "submit", self._submit):
                now = self.context.clock()
                rollouts.advance_rollout(self.context, self.rollout, now)

        self.registry.clock.advance(REPORT_SECONDS)

    def _submit(self, context: object, command: Any) -> None:
        if isinstance(command, EndRollout):
            self.ended.append(command.completed)
        elif isinstance(command, GrowRollout):
            self.rollout = make_rollout(
                share=command.share, duration=DURATION, ordered_at=0.0
            )


class RestartedGatewayTest(unittest.TestCase):
    """Gateways that lose their counts in the middle of a move."""

    def test_a_bad_version_is_stopped(self) -> None:
        """Guards against failures that are forgotten with the gateway that saw them."""
        for name, returns in (("it starts again", True), ("it is gone", False)):
            with self.subTest(name):
                leader = Leader()
                leader.report("g1", FORMER, *make_evidence(3, 3))
                leader.report("g2", FORMER)
                leader.step()
                self.assertEqual(leader.ended, [])
                for _ in range(round(REPORT_LIFE / REPORT_SECONDS) + 2):
                    leader.report("g2", FORMER)
                    if returns:
                        leader.report("g1")

                    leader.step()

                leader.report("g2", FORMER, *make_evidence(1, 1))
                leader.step()
                self.assertEqual(leader.ended, [False])

    def test_a_good_version_is_completed(self) -> None:
        """Guards against a move taken back for answers that were given and forgotten.

        Gateways are restarted in turn, each before it has many answers of the target.
        """
        leader = Leader()
        for turn in range(round(DURATION / REPORT_SECONDS) + 1):
            leader.report("g1", FORMER, *make_evidence(turn % 3 + 1))
            leader.step()

        self.assertEqual(leader.ended, [True])


class StandingGatewayTest(unittest.TestCase):
    """A gateway that reports no more, though its last report is held."""

    def test_it_holds_a_move_up_for_the_life_of_its_report(self) -> None:
        """Guards against a move that waits for a gateway that is frozen or cut off."""
        leader = Leader()
        connection = leader.registry.accept("g1")
        handle_connection(leader.context, connection)
        leader.report("g2", held=ORDER_INDEX - 1)
        held = []
        for _ in range(round(REPORT_LIFE / REPORT_SECONDS) + 2):
            leader.report("g1")
            leader.step()
            sums = [one for one in connection.sent if isinstance(one, FleetReport)]
            held.append(sums[-1].held)

        self.assertEqual(held[0], ORDER_INDEX - 1)
        self.assertEqual(held[-1], ORDER_INDEX)


class UntoldGatewayTest(unittest.TestCase):
    """A gateway of an older program, which does not tell what it holds."""

    def test_the_log_names_who_holds_a_move_up(self) -> None:
        """Guards against a move that is taken back during an upgrade, unexplained."""
        leader = Leader()
        leader.registry.clock.advance(DURATION)
        leader.report("g1", FORMER)
        leader.report("old", FORMER, held=-1)
        found = note_lines(leader.step)
        [line] = [one for one in found if one["message"] == "registry: Roll-out step"]
        self.assertEqual(line["extra"]["untold"], ["old"])
        self.assertEqual(leader.ended, [False])


if __name__ == "__main__":
    unittest.main()
