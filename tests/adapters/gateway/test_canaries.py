"""Requests to the target of a roll-out whose share is small."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING
from typing import Any

from tests.routing.factories import make_announcement
from tests.routing.factories import make_document
from tests.routing.factories import make_rollout
from tests.routing.factories import make_route
from waxwingwell.adapters.gateway.steering import handle_cast
from waxwingwell.routing.canaries import MIN_CANARIES
from waxwingwell.routing.canaries import list_canaries
from waxwingwell.routing.canaries import rank_upstreams
from waxwingwell.routing.fleet import apply_announcement
from waxwingwell.routing.health import record_unreachable
from waxwingwell.routing.load import add_running
from waxwingwell.routing.lookup import index_document
from waxwingwell.routing.messages import ShareMembers
from waxwingwell.routing.messages import ShareRouting
from waxwingwell.routing.records import RouteKind
from waxwingwell.routing.records import Service
from waxwingwell.routing.rollouts import hash_session
from waxwingwell.routing.rollouts import position_to_share
from waxwingwell.routing.versions import LEASE_SECONDS
from waxwingwell.routing.warmup import WarmUpLimits

from .canary_plays import play_rollout
from .paths import make_sole_gateway
from .support import Gateway
from .support import make_response
from .support import make_settings


if TYPE_CHECKING:
    from collections.abc import Callable


SHARE = 0.5
"""Share of the second half, in which active sessions move, too."""
TARGET = tuple(f"n{number}" for number in range(1, 7))
ANNOUNCED = [
    make_announcement(name, version="v2", incarnation=5, port=9500 + place)
    for place, name in enumerate(TARGET)
]
PORTS = {one.port: one.upstream for one in ANNOUNCED}
RANKED = rank_upstreams(ANNOUNCED, make_rollout().ordered_at)
CANARIES = {one.upstream for one in list_canaries(RANKED, SHARE)}
REQUESTS = 60
USAGE = 0.6
"""Part of a version's slots that are in use on average, when it serves all calls."""
NOT_RUN = make_response(b"", 503, "X-Not-Run: 1")


def make_rolled_out(share: float = SHARE) -> Gateway:
    """Return a gateway that knows of a roll-out with a share."""
    gateway = make_sole_gateway("u1", "u2", kind=RouteKind.IDEMPOTENT)
    for announcement in ANNOUNCED:
        apply_announcement(gateway.context.fleet, announcement, 0.0)

    body = ShareRouting(
        index=2, version=1, document=b"", rollouts=(make_rollout(share=share),)
    )
    handle_cast(gateway.context, "c1", body)
    return gateway


def serve_requests(gateway: Gateway) -> set[str]:
    """Serve requests of many sessions; return the target's upstreams that got one."""
    gateway.reactor.tcpClients.clear()
    statuses = set()
    for number in range(REQUESTS):
        caller = gateway.ask(X_Id=f"q{number}")
        upstream = gateway.upstreams[-1]
        upstream.accept()
        upstream.respond(make_response().replace(b"q1", f"q{number}".encode()))
        statuses.add(caller.status)

    assert statuses == {200}, f"callers got {statuses}"
    return {PORTS[one.port] for one in gateway.upstreams if one.port in PORTS}


def fill(gateway: Gateway) -> None:
    """Fill the canaries' slots."""
    for name in CANARIES:
        for _ in range(4):
            add_running(gateway.context.load, name, 0.0)


def crash(gateway: Gateway) -> None:
    """Let the canaries be out of reach."""
    for name in CANARIES:
        record_unreachable(gateway.context.health, name, gateway.reactor.seconds())


def announce(gateway: Gateway, **fields: Any) -> None:
    """Change what the canaries announce."""
    for one in ANNOUNCED:
        if one.upstream not in CANARIES:
            continue

        values = {"version": "v2", "incarnation": 5, "port": one.port, "sequence": 2}
        announcement = make_announcement(one.upstream, **{**values, **fields})
        apply_announcement(gateway.context.fleet, announcement, 0.0)


def warm_up(gateway: Gateway) -> None:
    """Let the canaries warm up."""
    announce(gateway, warming=5.0)


def warm_up_limited(gateway: Gateway) -> None:
    """Let the canaries warm up and take few requests meanwhile."""
    service = Service(name="chat", slots=4, warm_up_rate=0.1)
    route = make_route(kind=RouteKind.IDEMPOTENT)
    document = make_document(routes=(route,), services=(service,))
    gateway.context.index = index_document(document)
    gateway.context.settings = make_settings(
        warm_up=WarmUpLimits(overshoot=1.0, slack=0.0)
    )
    announce(gateway, warming=5.0)


def evacuate(gateway: Gateway) -> None:
    """Evacuate the canaries' data centre."""
    announce(gateway, data_centre="south")
    gateway.context.evacuated = frozenset({"south"})


def leave(gateway: Gateway) -> None:
    """Let the canaries leave."""
    announce(gateway, state="leaving")


class TrialTest(unittest.TestCase):
    """Upstreams that get the requests of a share."""

    def test_a_share_uses_few_upstreams(self) -> None:
        """Guards against a version whose failures under load no request can show."""
        for name, share, expected in (
            ("a share", SHARE, CANARIES),
            ("all sessions", 1.0, set(TARGET)),
        ):
            with self.subTest(name):
                gateway = make_rolled_out(share)
                self.assertEqual(serve_requests(gateway), expected)

    def test_other_upstreams_serve_in_place_of_canaries(self) -> None:
        """Guards against requests that fail though the target can serve them."""
        disturb: tuple[Callable[[Gateway], None], ...] = (
            fill,
            crash,
            warm_up,
            warm_up_limited,
            evacuate,
            leave,
        )
        for change in disturb:
            with self.subTest(change.__name__):
                gateway = make_rolled_out()
                change(gateway)
                found = serve_requests(gateway)
                self.assertGreaterEqual(len(found), MIN_CANARIES)
                self.assertLessEqual(found, set(TARGET) - CANARIES)

    def test_the_last_upstream_serves_all_of_the_share(self) -> None:
        """Guards against requests that fail though one of the target can serve them."""
        gateway = make_rolled_out()
        crash(gateway)
        last, *others = sorted(set(TARGET) - CANARIES)
        for name in others:
            record_unreachable(gateway.context.health, name, 0.0)

        self.assertEqual(serve_requests(gateway), {last})

    def test_a_retry_leaves_canaries_that_reject_it(self) -> None:
        """Guards against a request that is refused as canaries have no room."""
        gateway = make_rolled_out(0.08)
        rollout = gateway.context.rollouts["chat"]
        gateway.context.sessions.settled_shares[rollout.ordered_at] = rollout.share
        session = next(
            name
            for name in map(str, range(1_000))
            if position_to_share(hash_session(rollout, name)) < rollout.share
        )
        gateway.ask(X_Id=session)
        asked = []
        for _ in range(MIN_CANARIES + 1):
            upstream = gateway.upstreams[-1]
            upstream.accept()
            upstream.respond(NOT_RUN.replace(b"q1", session.encode()))
            asked.append(PORTS[upstream.port])

        ranked = [one.upstream for one in RANKED]
        self.assertEqual(len(set(asked)), MIN_CANARIES + 1)
        self.assertIn(asked[0], ranked[:MIN_CANARIES])
        self.assertLessEqual(set(asked), set(ranked[: MIN_CANARIES + 2]))

    def test_a_late_canary_gets_no_request(self) -> None:
        """Guards against a refusal for the time that a canary would take."""
        gateway = make_rolled_out()
        document = make_document(
            routes=(make_route(kind=RouteKind.IDEMPOTENT, objective=0.1),),
            services=(Service(name="chat", slots=400, memory_tokens=1),),
        )
        gateway.context.index = index_document(document)
        announce(gateway, slots=400)
        for name in CANARIES:
            for _ in range(50):
                add_running(gateway.context.load, name, 40.0)

        found = serve_requests(gateway)
        self.assertEqual(found - CANARIES, set(TARGET) - CANARIES)

    def test_without_a_lease_all_of_the_target_is_used(self) -> None:
        """Guards against few upstreams that bear all requests of a completed version.

        The former version's upstreams have ended; a control is not in contact.
        """
        gateway = make_rolled_out()
        gateway.reactor.advance(LEASE_SECONDS + 1.0)
        for name in ("u1", "u2"):
            record_unreachable(gateway.context.health, name, gateway.reactor.seconds())

        self.assertEqual(serve_requests(gateway), set(TARGET))
        handle_cast(gateway.context, "c1", ShareMembers(controls=()))
        self.assertEqual(serve_requests(gateway), CANARIES)


class LoadTest(unittest.TestCase):
    """Load of the target's upstreams while its share is small."""

    def test_canaries_bear_nearly_the_usual_load(self) -> None:
        """Guards against a trial without load, and one that overloads its upstreams.

        The usual load is that of the former version in a roll-out without a share.
        """
        for upstreams, share, seconds in ((9, 0.3, 4.0), (45, 0.08, 1.5)):
            with self.subTest(upstreams=upstreams, share=share):
                usual = play_rollout(upstreams, 0.0, USAGE, seconds)["v1"]
                trial = play_rollout(upstreams, share, USAGE, seconds)["v2"]
                self.assertGreater(trial.busy_part, usual.busy_part / 2)
                self.assertLess(trial.mean_wait, usual.mean_wait * 1.5)


if __name__ == "__main__":
    unittest.main()
