"""Prompt blocks that crash each upstream that begins a response to them."""

from __future__ import annotations

import unittest
from dataclasses import dataclass
from dataclasses import field

from .engines import POISON
from .engines import Engines
from .engines import make_engines
from .hubs import Hub
from .support import LAST_CHUNK
from .support import Caller


CONTACT_SECONDS = 3.0
"""Time within which gateways in contact learn of a crash."""
TOLERATED_CRASHES = 5
TOLERATED_REQUESTS = 3
"""Requests that may arrive after the tolerated crashes and the contact time."""
SECONDS = 30
SOUND_PER_SECOND = 6
QUEUED_UNTIL = 12.0
"""End of the wait at some engines, by which the block is known."""


@dataclass(slots=True)
class Played:
    """Callers of a play, by the time of their requests."""

    engines: Engines
    sound: list[tuple[float, Caller]] = field(default_factory=list)
    poisoned: list[tuple[float, Caller]] = field(default_factory=list)

    @property
    def late_arrivals(self) -> list[float]:
        """Times at which requests with the block arrived although they must not."""
        crashes = self.engines.crashes
        if len(crashes) < TOLERATED_CRASHES:
            return []

        since = crashes[TOLERATED_CRASHES - 1] + CONTACT_SECONDS
        return [at for at in self.engines.poisoned if at > since]

    def list_unserved(self, since: float = 0.0) -> list[Caller]:
        """Return the callers of sound requests who did not get a whole stream."""
        return [one for at, one in self.sound if at >= since and not is_whole(one)]


def is_whole(caller: Caller) -> bool:
    """Return whether a caller has received a whole stream."""
    return caller.received.endswith(LAST_CHUNK)


def play(
    engines: Engines,
    poisoned: int,
    blocks: str = f"shared,{POISON}",
    crashes: tuple[float, ...] = (),
) -> Played:
    """Send sound requests, some with the poisoned block, and crash engines."""
    played = Played(engines)
    slots = SECONDS * SOUND_PER_SECOND
    due = sorted(crashes)
    for slot in range(slots):
        now = engines.reactor.seconds()
        gateway = engines.gateways[slot % len(engines.gateways)]
        caller = gateway.ask(X_Id=f"s{slot}", X_Blocks=f"shared,sound{slot % 4},{slot}")
        played.sound.append((now, caller))
        for number in range(slot * poisoned // slots, (slot + 1) * poisoned // slots):
            gateway = engines.gateways[number % len(engines.gateways)]
            caller = gateway.ask(X_Id=f"p{number}", X_Blocks=f"{blocks},own{number}")
            played.poisoned.append((now, caller))

        while due and due[0] <= now:
            due.pop(0)
            crash_busiest(engines)

        engines.run(1 / SOUND_PER_SECOND)

    engines.run(10.0)
    return played


def crash_busiest(engines: Engines) -> None:
    """Crash the engine with the most calls."""
    engines.crash(max(engines.engines.values(), key=lambda one: len(one.calls)))


class PoisonedPromptTest(unittest.TestCase):
    """A fault of the request, which no other upstream can make good."""

    def test_a_prompt_block_crashes_few_upstreams(self) -> None:
        """Guards against requests that crash one upstream after the other."""
        for name, poisoned, blocks, closes_cleanly in (
            ("in the middle", 30, f"shared,{POISON}", False),
            ("in first place", 30, POISON, False),
            ("closed cleanly", 30, f"shared,{POISON}", True),
            ("often", 120, f"shared,{POISON}", False),
        ):
            with self.subTest(name):
                engines = make_engines()
                engines.closes_cleanly = closes_cleanly
                played = play(engines, poisoned, blocks)
                self.assertLessEqual(len(played.late_arrivals), TOLERATED_REQUESTS)

    def test_a_prompt_block_is_known_beside_ordinary_crashes(self) -> None:
        """Guards against a conviction that ordinary crashes prevent."""
        played = play(make_engines(), 30, crashes=tuple(range(1, 30, 4)))
        self.assertLessEqual(len(played.late_arrivals), TOLERATED_REQUESTS)

    def test_gateways_know_of_crashes_that_others_have_seen(self) -> None:
        """Guards against convictions for which one gateway must see all crashes."""
        for gateways in (5, 9):
            with self.subTest(gateways=gateways):
                engines = make_engines(gateways=gateways)
                Hub(engines.gateways, engines.reactor)
                played = play(engines, 60)
                self.assertLessEqual(len(played.late_arrivals), TOLERATED_REQUESTS)

    def test_queued_requests_are_cancelled(self) -> None:
        """Guards against requests that begin after their wait at an upstream."""
        engines = make_engines()
        for engine in list(engines.engines.values())[:4]:
            engine.queued_until = QUEUED_UNTIL

        play(engines, 30)
        self.assertEqual([at for at in engines.begun if at >= QUEUED_UNTIL], [])

    def test_sound_requests_are_served_beside_a_poisoned_block(self) -> None:
        """Guards against sound requests refused for a caller or block they share."""
        for poisoned in (30, 120):
            with self.subTest(poisoned=poisoned):
                played = play(make_engines(), poisoned)
                crashes = played.engines.crashes[:TOLERATED_CRASHES]
                since = crashes[-1] + 2 * CONTACT_SECONDS
                self.assertEqual(played.list_unserved(since), [])

    def test_ordinary_crashes_condemn_no_prompt(self) -> None:
        """Guards against sound requests refused after crashes they did not cause."""
        for name, crashes in (
            ("one every other second", tuple(range(1, 29, 2))),
            ("in pairs", (2, 2, 8, 8, 14, 14, 20, 20)),
        ):
            with self.subTest(name):
                played = play(make_engines(), 0, crashes=crashes)
                self.assertEqual(played.list_unserved(), [])
