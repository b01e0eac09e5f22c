"""Tests of the plain service, rating service, weight store and announcer."""

from __future__ import annotations

import msgspec
import treq
from klein import Klein
from twisted.internet.defer import Deferred

from waxwingwell.records import Announcement
from waxwingwell_standins.engine import start_engine
from waxwingwell_standins.listener import Request
from waxwingwell_standins.listener import close_listener
from waxwingwell_standins.listener import listen
from waxwingwell_standins.listener import read_body
from waxwingwell_standins.rating import start_rating
from waxwingwell_standins.service import start_service
from waxwingwell_standins.settings import AnnounceSettings
from waxwingwell_standins.settings import EngineSettings
from waxwingwell_standins.settings import RatingSettings
from waxwingwell_standins.settings import ServiceFaults
from waxwingwell_standins.settings import ServiceSettings
from waxwingwell_standins.settings import WeightSettings
from waxwingwell_standins.weights import start_weights
from waxwingwell_standins.weights import take_token

from .support import AsyncTestCase
from .support import read_json
from .support import send


class ServiceTest(AsyncTestCase):
    """The plain service runs an order each time it is sent and counts the runs."""

    async def test_order_runs_each_time(self) -> None:
        service = start_service(ServiceSettings(service="bookings"))
        self.addCleanup(service.stop)
        for _ in range(2):
            response = await send("POST", service.url + "/orders", {"order": "clubs-7"})
            record = await read_json(response)

        shown = await read_json(await send("GET", service.url + "/orders/clubs-7"))
        self.assertEqual(service.executions["clubs-7"], 2)
        self.assertEqual(record, shown)
        self.assertEqual(shown["body"], {"order": "clubs-7"})

    async def test_connection_dropped_after_run(self) -> None:
        """The response is lost although the order ran, so the outcome is unknown."""
        faults = ServiceFaults(drop_answers=1)
        service = start_service(ServiceSettings(service="bookings", faults=faults))
        self.addCleanup(service.stop)
        with self.assertRaises(Exception):  # noqa: B017
            await send("POST", service.url + "/orders", {"order": "o"})

        self.assertEqual(service.executions["o"], 1)

    async def test_refusal_does_not_run(self) -> None:
        faults = ServiceFaults(refuse=1)
        service = start_service(ServiceSettings(service="bookings", faults=faults))
        self.addCleanup(service.stop)
        response = await send("POST", service.url + "/bookings", {"id": "b"})
        await treq.content(response)
        self.assertEqual(response.code, 503)
        self.assertEqual(service.executions["b"], 0)


class RatingTest(AsyncTestCase):
    """Ratings depend on the quality of the version and are deterministic."""

    async def test_rating(self) -> None:
        service = start_rating(RatingSettings(qualities={"a@1": 0.9, "a@2": 0.2}))
        self.addCleanup(service.stop)
        ratings = []
        for version in ("a@1", "a@1", "a@2"):
            rating_request = {
                "version": version,
                "kind": "tag",
                "prompt": "p",
                "answer": "x",
            }
            response = await send("POST", service.url + "/v1/ratings", rating_request)
            ratings.append((await read_json(response))["rating"])

        self.assertEqual(ratings[0], ratings[1])
        self.assertGreater(ratings[0], ratings[2] + 0.4)

        service.outage = True
        response = await send("POST", service.url + "/v1/ratings", rating_request)
        await treq.content(response)
        self.assertEqual(response.code, 503)


class WeightTest(AsyncTestCase):
    """The weight store enforces its rate limit."""

    async def test_rate_limit(self) -> None:
        store = start_weights(WeightSettings(rate=0.01, burst=1))
        self.addCleanup(store.stop)
        codes = []
        for _ in range(2):
            response = await send("GET", store.url + "/weights/a@1")
            await treq.content(response)
            codes.append(response.code)

        self.assertEqual(codes, [200, 429])
        self.assertTrue(response.headers.hasHeader("Retry-After"))

    async def test_bucket_refills(self) -> None:
        store = start_weights(WeightSettings(rate=2.0, burst=1))
        self.addCleanup(store.stop)
        start = store.refilled_at
        waits = [take_token(store, start + after) for after in (0.0, 0.25, 0.5)]
        self.assertEqual(waits, [0.0, 0.25, 0.0])

    async def test_engine_downloads_from_store(self) -> None:
        store = start_weights(WeightSettings())
        self.addCleanup(store.stop)
        engine = start_engine(EngineSettings(weights=store.url))
        self.addCleanup(engine.stop)
        order = {"fencing": 1, "versions": ["a@1"]}
        response = await send("PUT", engine.url + "/v1/versions", order)
        self.assertEqual((await read_json(response))["loading"], ["a@1"])
        for _ in range(200):
            await treq.content(await send("GET", engine.url + "/v1/versions"))
            if "a@1" in engine.orders.loaded:
                break

        self.assertEqual(store.served, {"a@1": 1})


class AnnouncerTest(AsyncTestCase):
    """Announcements reach an entry with rising sequence numbers and the leave flag."""

    async def test_announce_and_leave(self) -> None:
        announcements: list[Announcement] = []
        first: Deferred[None] = Deferred()
        app = Klein()

        @app.route("/v1/upstreams/announce", methods=["POST"])
        def receive_announcement(request: Request) -> bytes:
            announcements.append(
                msgspec.json.decode(read_body(request), type=Announcement)
            )
            if len(announcements) == 1:
                first.callback(None)

            return b"{}"

        entry = listen(app)
        self.addCleanup(close_listener, entry)
        settings = AnnounceSettings(
            upstream="engine-1", data_centre="bole", entries=(entry.url,), lease=60.0
        )
        engine = start_engine(EngineSettings(versions=("a@1",), announce=settings))
        self.addCleanup(engine.stop)
        await first
        await engine.leave()
        self.assertEqual([item.sequence for item in announcements], [1, 2])
        self.assertEqual([item.leaving for item in announcements], [False, True])
        self.assertEqual(announcements[0].port, engine.port)
        self.assertEqual(announcements[0].versions, ("a@1",))
