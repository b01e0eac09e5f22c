"""What counts as a crash of an upstream, and what callers with its cause are told."""

from __future__ import annotations

import unittest
from functools import partial
from typing import TYPE_CHECKING

from tests.routing.factories import make_announcement
from tests.routing.factories import make_rollout
from waxwingwell.adapters.gateway.arrivals import handle_relayed
from waxwingwell.adapters.gateway.crashes import BREAK_SECONDS
from waxwingwell.adapters.gateway.crashes import confirm_replaced
from waxwingwell.adapters.gateway.crashes import review_breaks
from waxwingwell.adapters.gateway.endings import QUARANTINE_RETRY_AFTER
from waxwingwell.adapters.registry.quarantine import release_blocks
from waxwingwell.adapters.registry.quarantine import show_blocks
from waxwingwell.routing.fleet import UpstreamState
from waxwingwell.routing.fleet import apply_announcement
from waxwingwell.routing.fleet import apply_heartbeats
from waxwingwell.routing.hashes import hash_block
from waxwingwell.routing.limits import record_leave
from waxwingwell.routing.messages import RelayGateway
from waxwingwell.routing.messages import TrialState
from waxwingwell.routing.quarantine import MIN_CRASHES
from waxwingwell.routing.quarantine import QuarantineTable
from waxwingwell.routing.quarantine import is_quarantined
from waxwingwell.routing.quarantine import record_crash
from waxwingwell.routing.quarantine import record_survival
from waxwingwell.routing.trials import FIRST_TRIAL_SECONDS
from waxwingwell.routing.trials import merge_trials

from .engines import POISON
from .engines import Engines
from .engines import make_engines
from .hubs import Hub
from .paths import PATHS
from .paths import make_sole_gateway
from .support import Caller
from .support import Gateway
from .support import Upstream
from .support import make_chunk
from .support import make_stream_head


if TYPE_CHECKING:
    from collections.abc import Callable


EVENT = make_chunk(b"id: 1\ndata: a\n\n")
BLOCKS = f"shared,{POISON},own"
KEY = hash_block("chat", POISON)


def ask(gateway: Gateway, request: str = "q1") -> Caller:
    """Send a request with the poisoned block."""
    return gateway.ask(X_Id=request, X_Blocks=BLOCKS)


def start_stream(gateway: Gateway) -> Upstream:
    """Send a request, and let the upstream of its choice begin a response."""
    ask(gateway)
    upstream = gateway.upstreams[-1]
    upstream.accept()
    upstream.respond(make_stream_head() + EVENT)
    return upstream


def find_check(gateway: Gateway, broken: Upstream) -> Upstream:
    """Return the connection that checks whether an upstream still lives."""
    return next(one for one in reversed(gateway.upstreams) if one.port == broken.port)


def quarantine(gateway: Gateway, key: int = KEY) -> None:
    """Let a gateway know of enough crashes to quarantine a block."""
    table = gateway.context.quarantine
    for number in range(MIN_CRASHES):
        record_crash(table, number, (key,), request=number, lag=0.1, now=0.0)


def count_calls(gateway: Gateway) -> int:
    """Return the requests sent to upstreams or relays, without checks."""
    calls = [one.factory for one in gateway.upstreams]
    return sum(type(one).__name__ == "_CallFactory" for one in calls)


def count_suspected(gateway: Gateway) -> int:
    """Return the crashes of which the poisoned block is suspected."""
    crashes = gateway.context.quarantine.blocks.get(KEY, {})
    return sum(not held.cleared for held in crashes.values())


def name_of(gateway: Gateway, upstream: Upstream) -> str:
    """Return the id of the upstream behind a connection."""
    names: list[str] = [
        name
        for name, held in gateway.context.fleet.upstreams.items()
        if held.announcement.port == upstream.port
    ]
    return names[0]


class CrashTest(unittest.TestCase):
    """A response that has just started breaks off."""

    def test_only_an_upstream_that_refuses_connections_has_crashed(self) -> None:
        """Guards against cuts, resets and lost paths that count as crashes."""
        cases: tuple[tuple[str, Callable[[Upstream], object], int], ...] = (
            ("refused", Upstream.refuse, 1),
            ("accepted", Upstream.accept, 0),
            ("no answer", lambda _: None, 0),
        )
        for name, act, crashes in cases:
            with self.subTest(name):
                gateway = make_sole_gateway()
                upstream = start_stream(gateway)
                upstream.reset()
                act(find_check(gateway, upstream))
                self.assertEqual(count_suspected(gateway), crashes)

    def test_requests_broken_off_by_one_process_are_one_crash(self) -> None:
        gateway = make_sole_gateway("u1")
        first, second = start_stream(gateway), start_stream(gateway)
        first.reset()
        find_check(gateway, first).refuse()
        second.reset()
        self.assertEqual(count_suspected(gateway), 1)

    def test_a_later_process_shows_a_crash_afterwards(self) -> None:
        """Guards against crashes that are missed as the next process is quick."""
        for name, fields, after, crashes in (
            ("same id", {}, 2.0, 1),
            ("same address", {"upstream": "new"}, 2.0, 1),
            ("another address", {"upstream": "new", "port": 1}, 2.0, 0),
            ("an older process", {"incarnation": 0}, 2.0, 0),
            ("long after", {}, BREAK_SECONDS + 1.0, 0),
        ):
            with self.subTest(name):
                gateway = make_sole_gateway("u1")
                upstream = start_stream(gateway)
                upstream.reset()
                find_check(gateway, upstream).accept()
                now = gateway.reactor.seconds() + after
                given = {"incarnation": 2, "port": upstream.port, **fields}
                announced = make_announcement(str(given.pop("upstream", "u1")), **given)
                confirm_replaced(gateway.context, (announced,), now)
                self.assertEqual(count_suspected(gateway), crashes)

    def test_a_planned_end_is_no_crash(self) -> None:
        """Guards against stops, leaves and roll-outs that count as crashes."""

        def announce(gateway: Gateway, name: str) -> None:
            leaving = make_announcement(name, state=UpstreamState.LEAVING, sequence=2)
            apply_announcement(gateway.context.fleet, leaving, 0.0)

        def complete(gateway: Gateway, _: str) -> None:
            rollout = make_rollout(state="completed")
            gateway.context.rollouts["chat"] = rollout

        def state(gateway: Gateway, name: str) -> None:
            record_leave(gateway.context.limits, name, 1, 0.0)

        for reason, act in (
            ("announced", announce),
            ("rolled out", complete),
            ("stated", state),
        ):
            with self.subTest(reason):
                gateway = make_sole_gateway()
                upstream = start_stream(gateway)
                act(gateway, name_of(gateway, upstream))
                upstream.reset()
                last = gateway.upstreams[-1]
                if last.port == upstream.port:
                    last.refuse()

                self.assertEqual(count_suspected(gateway), 0)

    def test_heartbeats_take_a_crash_back(self) -> None:
        """Guards against crashes of upstreams that had refused a few connections."""
        for after, crashes in ((1.0, 1), (8.0, 0)):
            with self.subTest(after=after):
                gateway = make_sole_gateway("u1")
                upstream = start_stream(gateway)
                upstream.reset()
                find_check(gateway, upstream).refuse()
                gateway.reactor.advance(after)
                fleet = gateway.context.fleet
                apply_heartbeats(fleet, (("u1", 1, 9),), gateway.reactor.seconds())
                review_breaks(gateway.context)
                self.assertEqual(count_suspected(gateway), crashes)

    def test_a_process_that_is_not_announced_yet_crashes_anew(self) -> None:
        """Guards against crashes that are counted as one until an announcement."""
        gateway = make_sole_gateway("u1")
        for number in range(3):
            ask(gateway, f"q{number}")
            upstream = gateway.upstreams[-1]
            upstream.accept()
            upstream.respond(make_stream_head(f"X-Id: q{number}"))
            upstream.reset()
            find_check(gateway, upstream).refuse()
            gateway.reactor.advance(9.5)

        self.assertEqual(count_suspected(gateway), 3)

    def test_broken_requests_are_released(self) -> None:
        """Guards against requests and bodies kept after their connection broke."""
        for name, refused in (("crashed", True), ("lives", False)):
            with self.subTest(name):
                gateway = make_sole_gateway("u1")
                upstream = start_stream(gateway)
                upstream.reset()
                check = find_check(gateway, upstream)
                if refused:
                    check.refuse()
                else:
                    check.accept()
                    gateway.reactor.advance(BREAK_SECONDS + 1.0)

                review_breaks(gateway.context)
                held = next(iter(gateway.context.breaks.values()))
                self.assertEqual(held.requests, [])

    def test_a_stream_that_has_run_clears_its_blocks(self) -> None:
        """Guards against blocks suspected although an upstream lived on them."""
        gateway = make_sole_gateway("u1")
        upstream = start_stream(gateway)
        gateway.reactor.advance(1.0)
        upstream.respond(EVENT)
        upstream.reset()
        self.assertEqual(gateway.context.breaks, {})
        self.assertIn(KEY, gateway.context.quarantine.sound)

    def test_a_request_crashes_two_upstreams_at_most(self) -> None:
        """Guards against requests that go on crashing until their attempts are used."""
        engines = make_engines(max_attempts=5)
        caller = engines.gateways[0].ask(X_Id="p1", X_Blocks=BLOCKS)
        engines.run(5.0)
        self.assertEqual(len(engines.crashes), 2)
        self.assertTrue(caller.transport.aborted)


class RefusalTest(unittest.TestCase):
    """A request with a quarantined block."""

    def test_no_path_leads_to_an_upstream(self) -> None:
        """Guards against quarantined requests sent by retries or larger models."""
        for name, act, route in PATHS:
            with self.subTest(name):
                gateway = make_sole_gateway(**route)
                gateway.headers["X-Blocks"] = BLOCKS
                is_first = name in ("first attempt", "no heartbeats")
                if is_first:
                    quarantine(gateway)
                else:
                    gateway.on_asked = partial(quarantine, gateway)

                act(gateway)
                gateway.reactor.advance(1.0)
                self.assertEqual(count_calls(gateway), 0 if is_first else 1)

    def test_a_relay_refuses_it(self) -> None:
        """Guards against quarantined requests that reach upstreams by relays."""
        gateway = make_sole_gateway()
        gateway.service.handle = partial(handle_relayed, gateway.context)
        quarantine(gateway)
        self.assertEqual(ask(gateway).status, 503)
        self.assertEqual(count_calls(gateway), 0)

    def test_one_that_has_lost_its_path_asks_no_relay(self) -> None:
        gateway = make_sole_gateway()
        gateway.context.path.lost_at = 0.0
        gateway.context.relays = (RelayGateway("g9", "127.0.0.9", 7, "north"),)
        quarantine(gateway)
        self.assertEqual(ask(gateway).status, 503)
        self.assertEqual(count_calls(gateway), 0)

    def test_it_is_refused_at_once_as_not_run(self) -> None:
        gateway = make_sole_gateway()
        quarantine(gateway)
        caller = ask(gateway)
        self.assertEqual(caller.status, 503)
        retry_after = f"Retry-After: {QUARANTINE_RETRY_AFTER:g}\r\n".encode()
        self.assertIn(retry_after, caller.received)
        self.assertEqual(gateway.upstreams, [])

    def test_a_quarantined_request_is_no_trial_of_its_blocks(self) -> None:
        """Guards against a trial that ends a fourth upstream under its request."""
        gateway = make_sole_gateway()
        context = gateway.context
        asked = ask(gateway)
        [running] = context.exchanges
        asked.leave()
        before = count_calls(gateway)
        quarantine(gateway)
        quarantine(gateway, running.content)
        merge_trials(context.trials, [TrialState(KEY, 1, context.settings.node)], 0.0)
        self.assertEqual(ask(gateway).status, 503)
        self.assertEqual(count_calls(gateway), before)
        gateway.ask(X_Id="q2", X_Blocks=f"shared,{POISON},other")
        self.assertEqual(count_calls(gateway), before + 1)

    def test_one_that_waits_at_an_upstream_may_have_run(self) -> None:
        """Guards against a promise that a cancelled request has not run."""
        for accepted, status in ((True, 502), (False, 503)):
            with self.subTest(accepted=accepted):
                gateway = make_sole_gateway()
                caller = ask(gateway)
                upstream = gateway.upstreams[-1]
                if accepted:
                    upstream.accept()

                quarantine(gateway)
                next(iter(gateway.context.exchanges)).cancel_if_quarantined()
                self.assertEqual(caller.status, status)
                if accepted:
                    self.assertTrue(upstream.transport.aborted)


class HubTest(unittest.TestCase):
    """Evidence on its way between gateways."""

    def make(self, key: int = KEY) -> tuple[Engines, Hub]:
        """Return gateways that all know of a quarantine, and their controls."""
        engines = make_engines(gateways=4)
        hub = Hub(engines.gateways, engines.reactor)
        engines.run(1.0)
        quarantine(engines.gateways[0], key)
        gateway = engines.gateways[0].context
        for block, crashes in gateway.quarantine.blocks.items():
            for crash in crashes:
                gateway.quarantine.unreported[block, crash] = None

        engines.run(1.0)
        return engines, hub

    def check(self, engines: Engines) -> None:
        """Check that all gateways refuse requests with the block."""
        for gateway in engines.gateways:
            self.assertTrue(is_quarantined(gateway.context.quarantine, (KEY,)))

    def test_all_gateways_learn_of_a_quarantine(self) -> None:
        engines, _ = self.make()
        self.check(engines)

    def test_evidence_outlives_the_gateway_that_has_seen_it(self) -> None:
        """Guards against crashes that a gateway forgets as it restarts."""
        engines, hub = self.make()
        gateway = engines.gateways[0]
        hub.disconnect_gateway(gateway)
        gateway.context.quarantine = QuarantineTable()
        for name in hub.controls:
            hub.connect_gateway(gateway, name)

        engines.run(0.1)
        self.check(engines)

    def test_evidence_outlives_all_controls(self) -> None:
        """Guards against a quarantine that ends as controls restart."""
        engines, hub = self.make()
        names = list(hub.controls)
        for name in names:
            hub.stop_control(name)

        gateway = engines.gateways[3]
        gateway.context.quarantine = QuarantineTable()
        for name in names:
            hub.start_control(name)

        engines.run(2.0)
        self.check(engines)

    def test_evidence_outlives_all_processes(self) -> None:
        """Guards against a quarantine that ends as all processes end at once."""
        engines, hub = self.make()
        names = list(hub.controls)
        for name in names:
            hub.stop_control(name)

        for gateway in engines.gateways:
            gateway.context.quarantine = QuarantineTable()

        for name in names:
            hub.start_control(name)

        engines.run(0.1)
        self.check(engines)

    def ask_often(self, engines: Engines, block: str, seconds: float) -> list[Caller]:
        """Send requests with a block to all gateways in turn, two a second."""
        callers = []
        for number in range(round(2 * seconds)):
            gateway = engines.gateways[number % len(engines.gateways)]
            blocks = f"shared,{block},own{number}"
            callers.append(gateway.ask(X_Id=f"a{number}", X_Blocks=blocks))
            engines.run(0.5)

        return callers

    def test_a_trial_ends_a_wrong_quarantine(self) -> None:
        """Guards against sound requests that are refused for good."""
        engines, _ = self.make(hash_block("chat", "sound"))
        callers = self.ask_often(engines, "sound", FIRST_TRIAL_SECONDS + 5.0)
        self.assertEqual(callers[0].status, 503)
        self.assertEqual([one.status for one in callers[-4:]], [200] * 4)
        self.assertEqual(engines.crashes, [])

    def test_a_trial_that_is_broken_off_ends_a_wrong_quarantine(self) -> None:
        """Guards against sound requests refused for long after their service failed."""
        engines, _ = self.make(hash_block("chat", "sound"))
        engines.fails_until = engines.reactor.seconds() + FIRST_TRIAL_SECONDS + 2.0
        callers = self.ask_often(engines, "sound", FIRST_TRIAL_SECONDS + 8.0)
        self.assertEqual(callers[0].status, 503)
        self.assertEqual([one.status for one in callers[-4:]], [200] * 4)

    def test_a_trial_of_a_poisoned_block_is_the_only_one(self) -> None:
        """Guards against trials at each gateway, and trials that are retried."""
        engines, _ = self.make()
        callers = self.ask_often(engines, POISON, 2 * FIRST_TRIAL_SECONDS)
        self.assertEqual(len(engines.poisoned), 1)
        self.assertEqual(len(engines.crashes), 1)
        self.assertEqual(sum(one.status == 200 for one in callers), 1)

    def test_an_operator_ends_a_quarantine(self) -> None:
        """Guards against quarantines that go on at some processes after their end."""
        engines, hub = self.make()
        away = engines.gateways[1]
        hub.disconnect_gateway(away)
        control = next(iter(hub.controls.values()))
        self.assertEqual(show_blocks(control).blocks[0].crashes, MIN_CRASHES)
        release_blocks(control)
        engines.run(0.5)
        for name in hub.controls:
            hub.connect_gateway(away, name)

        engines.run(2.0)
        for context in hub.controls.values():
            self.assertEqual(show_blocks(context).blocks, ())

        for gateway in engines.gateways:
            self.assertFalse(is_quarantined(gateway.context.quarantine, (KEY,)))

    def test_a_gateway_that_was_cut_off_learns_of_an_end(self) -> None:
        """Guards against a quarantine that ends at some gateways only."""
        engines, hub = self.make()
        away = engines.gateways[1]
        hub.disconnect_gateway(away)
        now = engines.reactor.seconds()
        record_survival(engines.gateways[2].context.quarantine, (KEY,), now)
        engines.run(1.0)
        self.assertTrue(is_quarantined(away.context.quarantine, (KEY,)))
        for name in hub.controls:
            hub.connect_gateway(away, name)

        engines.run(2.0)
        for gateway in engines.gateways:
            self.assertFalse(is_quarantined(gateway.context.quarantine, (KEY,)))
