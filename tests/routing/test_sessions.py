"""Tests that sessions keep their version during the first share of a roll-out."""

from __future__ import annotations

import random
import unittest
from dataclasses import dataclass
from dataclasses import field

from waxwingwell.routing.messages import RolloutState
from waxwingwell.routing.rollouts import FIRST_SHARE
from waxwingwell.routing.rollouts import MAX_GROWTH
from waxwingwell.routing.rollouts import hash_session
from waxwingwell.routing.rollouts import position_to_share
from waxwingwell.routing.sessions import SessionTable
from waxwingwell.routing.sessions import apply_kept_sessions
from waxwingwell.routing.sessions import find_last_version
from waxwingwell.routing.sessions import finish_session
from waxwingwell.routing.sessions import list_kept_sessions
from waxwingwell.routing.sessions import record_rollouts
from waxwingwell.routing.sessions import start_session
from waxwingwell.routing.versions import list_allowed_upstreams

from .factories import make_announcement
from .factories import make_rollout


SESSION_LIFE = 5.0
ORDER_INDEX = 7
"""Index in the controls' log of the order, which has no share yet."""
SHARE_INDEX = 8
"""Index in the controls' log of the first share."""
BOTH_VERSIONS = [
    make_announcement("a", version="v1"),
    make_announcement("b", version="v2"),
]


@dataclass
class Peer:
    """One gateway: its table, and the index of its state in the controls' log."""

    sessions: SessionTable = field(default_factory=SessionTable)
    rollout: RolloutState | None = None
    held: int = -1

    def apply_state(self, rollout: RolloutState, index: int) -> None:
        """Apply the state of the controls."""
        self.rollout = rollout
        self.held = index
        record_rollouts(self.sessions, [rollout], index)

    def choose(self, session: str, now: float) -> str:
        """Return the version that a session would use."""
        rollout = self.rollout
        allowed = list_allowed_upstreams(
            BOTH_VERSIONS,
            rollout,
            established={"chat": "v1"},
            session=session,
            last=find_last_version(self.sessions, ("chat", session), now),
            session_life=SESSION_LIFE,
            now=now,
            kept=self.sessions.kept,
            settled=rollout is not None and rollout.ordered_at in self.sessions.settled,
        )
        return allowed[0].version

    def run(self, session: str, now: float, *, ends: bool = True) -> str:
        """Simulate a request of a session; return its version."""
        version = self.choose(session, now)
        start_session(self.sessions, "chat", session, version, now)
        if ends:
            finish_session(self.sessions, "chat", session, version, now)

        return version


def exchange_totals(peers: list[Peer], now: float) -> None:
    """Send the totals of all gateways' reports to all gateways."""
    rollouts = [[peer.rollout] if peer.rollout else [] for peer in peers]
    kept = {
        place
        for peer, known in zip(peers, rollouts, strict=True)
        for place in list_kept_sessions(peer.sessions, known, SESSION_LIFE, now)
    }
    held = min(peer.held for peer in peers)
    for peer in peers:
        apply_kept_sessions(peer.sessions, kept, held)


def find_session(rollout: RolloutState, least: float = 0.0) -> str:
    """Return a session of the first share, or of one that follows ``least``."""
    names = map(str, range(1_000))
    most = least + FIRST_SHARE
    return next(
        name
        for name in names
        if least <= position_to_share(hash_session(rollout, name)) < most
    )


class KeptSessionTest(unittest.TestCase):
    """A session that changes gateways during the first share of a roll-out."""

    def setUp(self) -> None:
        self.ordered = make_rollout(share=0.0)
        self.begun = make_rollout(share=FIRST_SHARE)
        self.session = find_session(self.begun)
        self.peers = [Peer() for _ in range(78)]
        for peer in self.peers:
            peer.apply_state(self.ordered, ORDER_INDEX)

    def announce_first_share(self, *peers: Peer) -> None:
        """Apply the first share at some gateways, or at all."""
        for peer in peers or self.peers:
            peer.apply_state(self.begun, SHARE_INDEX)

    def test_an_active_session_of_another_gateway_keeps_its_version(self) -> None:
        """Guards against a new version at a gateway that has not served the session."""
        for name, ends, asked_at, expected in (
            ("just ended", True, 11.5, "v1"),
            ("in flight for longer than the session life", False, 17.0, "v1"),
            ("expired", True, 17.0, "v2"),
        ):
            with self.subTest(name):
                self.setUp()
                self.peers[0].run(self.session, 10.0, ends=ends)
                self.announce_first_share()
                exchange_totals(self.peers, asked_at)
                self.assertEqual(self.peers[50].run(self.session, asked_at), expected)

    def test_an_active_session_of_a_grown_share_keeps_its_version(self) -> None:
        """Guards against sessions that change as an early share grows."""
        session = find_session(self.begun, FIRST_SHARE)
        self.announce_first_share()
        exchange_totals(self.peers, 9.0)
        self.assertEqual(self.peers[0].run(session, 10.0), "v1")
        exchange_totals(self.peers, 10.2)
        grown = make_rollout(share=MAX_GROWTH * FIRST_SHARE)
        for peer in self.peers:
            peer.apply_state(grown, SHARE_INDEX + 1)

        self.assertEqual(self.peers[50].choose(session, 10.3), "v1")
        exchange_totals(self.peers, 16.0)
        self.assertEqual(self.peers[50].choose(session, 16.1), "v2")

    def test_no_session_changes_before_every_gateway_has_reported(self) -> None:
        """A gateway that gets the share late starts sessions in the meantime.

        The other gateways must not send these to the target version.
        """
        *early, late = self.peers
        self.announce_first_share(*early)
        exchange_totals(self.peers, 10.0)
        self.assertEqual(early[0].choose(self.session, 10.1), "v1")
        late.run(self.session, 10.2)
        self.announce_first_share(late)
        self.assertEqual(early[0].choose(self.session, 10.3), "v1")
        exchange_totals(self.peers, 10.4)
        self.assertEqual(early[0].choose(self.session, 10.5), "v1")

    def test_without_totals_the_former_version_is_kept(self) -> None:
        """The control that a gateway is attached to is unreachable at the start."""
        self.announce_first_share()
        self.assertEqual(self.peers[0].choose(self.session, 10.0), "v1")

    def test_a_session_keeps_the_target_version_at_every_gateway(self) -> None:
        self.announce_first_share()
        exchange_totals(self.peers, 10.0)
        for now, peer in enumerate(self.peers[:20], 11):
            self.assertEqual(peer.run(self.session, now), "v2")
            exchange_totals(self.peers, now)

    def test_a_gateway_that_starts_during_a_rollout_waits_for_totals(self) -> None:
        """Guards against a new gateway that does not know another's active session."""
        self.peers[0].run(self.session, 10.0)
        self.announce_first_share()
        exchange_totals(self.peers, 10.0)
        restarted = Peer()
        restarted.apply_state(self.begun, SHARE_INDEX)
        self.assertEqual(restarted.choose(self.session, 10.2), "v1")
        exchange_totals([*self.peers, restarted], 10.3)
        self.assertEqual(restarted.choose(self.session, 10.4), "v1")

    def test_few_of_many_sessions_change_their_version(self) -> None:
        """Gateways get the share at different times, and the totals later."""
        draw = random.Random(5)
        heard_at = [10.0 + draw.random() * 0.5 for _ in self.peers]
        last: dict[str, tuple[float, str]] = {}
        changed = moved = 0
        for step in range(1_500):
            now = 9.0 + step / 100
            for peer, at in zip(self.peers, heard_at, strict=True):
                if peer.held < SHARE_INDEX and now >= at:
                    self.announce_first_share(peer)

            if step % 25 == 0:
                exchange_totals(self.peers, now)

            for _ in range(3):
                session = str(draw.randrange(3_000))
                version = draw.choice(self.peers).run(session, now)
                moved += version == "v2"
                at, former = last.get(session, (-100.0, ""))
                changed += now - at <= SESSION_LIFE and version != former
                last[session] = (now, version)

        self.assertGreater(moved, 50)
        self.assertLessEqual(changed, 3)

    def test_sessions_are_reported_only_in_the_first_half(self) -> None:
        peer = self.peers[0]
        peer.run(self.session, 10.0)
        place = hash_session(self.begun, self.session)
        for name, rollout, expected in (
            ("ordered", self.ordered, (place,)),
            ("first share", self.begun, (place,)),
            ("second half", make_rollout(share=0.3), ()),
            ("completed", make_rollout(state="completed"), ()),
        ):
            with self.subTest(name):
                found = list_kept_sessions(peer.sessions, [rollout], SESSION_LIFE, 11.0)
                self.assertEqual(found, expected)


if __name__ == "__main__":
    unittest.main()
