"""Faults of engines and services, as callers see them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.standins.support import read_json
from tests.standins.support import read_until_closed
from waxwingwell_standins.faults import EngineFaults

from .support import CHAT
from .support import EmbeddedTestCase
from .support import make_chat


if TYPE_CHECKING:
    from waxwingwell.records import LedgerRow


DONE = b"data: [DONE]\n\n"

STREAM_FAULTS: tuple[tuple[str, EngineFaults], ...] = (
    ("connection dropped before the first event", EngineFaults(times=1, drop_after=0)),
    ("connection dropped in the middle", EngineFaults(times=1, drop_after=3)),
    ("connection dropped three times", EngineFaults(times=3, drop_after=2)),
    ("duplicate events", EngineFaults(times=1, duplicate_every=2)),
    ("reordered events", EngineFaults(times=1, reorder_every=3)),
    ("response to another request", EngineFaults(times=1, answer_as="req-other")),
)


class StreamFaultTest(EmbeddedTestCase):
    """The caller gets a complete stream although every engine has the fault."""

    async def test_stream_is_complete(self) -> None:
        # A fault on the connection to an engine must neither truncate the stream nor
        # mix in tokens of another request.
        for name, faults in STREAM_FAULTS:
            with self.subTest(name):
                for engine in self.system.fleet.engines:
                    engine.faults = EngineFaults(
                        times=faults.times,
                        drop_after=faults.drop_after,
                        duplicate_every=faults.duplicate_every,
                        reorder_every=faults.reorder_every,
                        answer_as=faults.answer_as,
                        refuse=faults.refuse,
                    )

                response = await self.call(CHAT, make_chat(stream=True, max_tokens=8))
                data = await read_until_closed(response)
                request_id = response.headers.getRawHeaders("x-request-id")[0]
                self.assertTrue(data.endswith(DONE), data[-300:])
                ids = [line for line in data.splitlines() if line.startswith(b"id: ")]
                expected = [
                    f"id: {request_id}:{number}".encode()
                    for number in range(1, len(ids) + 1)
                ]
                self.assertEqual(ids, expected)

    async def test_refusing_engine_is_avoided(self) -> None:
        # One engine is at capacity and refuses before running the request, so the
        # request must go to the other one.
        self.system.fleet.engines[0].faults = EngineFaults(refuse=True)
        for _ in range(4):
            response = await self.call(CHAT, make_chat(stream=True))
            self.assertTrue((await read_until_closed(response)).endswith(DONE))

    async def test_executed_request_is_not_reported_as_not_run(self) -> None:
        # Every engine runs the request but responds with another request id. No engine
        # is left to try, yet the work has run: the outcome must not be "not_run".
        for engine in self.system.fleet.engines:
            engine.faults = EngineFaults(answer_as="req-other")

        for stream in (True, False):
            with self.subTest(stream=stream):
                response = await self.call(CHAT, make_chat(stream=stream))
                error = (await read_json(response))["error"]
                self.assertEqual(error["outcome"], "failed")

    async def test_stalled_stream_is_resumed(self) -> None:
        # An open connection stops delivering data for good while new ones work. Once
        # the progress timeout has passed, the stream must resume on a new connection.
        settings = self.system.entry.context.settings
        self.system.entry.context.settings = settings.model_copy(
            update={"progress_timeout": 0.2}
        )
        for engine in self.system.fleet.engines:
            engine.faults = EngineFaults(times=1, silent_after=2)

        response = await self.call(CHAT, make_chat(stream=True))
        self.assertTrue((await read_until_closed(response)).endswith(DONE))


class BillingTest(EmbeddedTestCase):
    """Ledger rows and billing of requests."""

    def rows(self) -> list[LedgerRow]:
        return list(self.system.control.context.holder.state.ledger.rows.values())

    async def test_each_request_has_one_settled_row(self) -> None:
        request_ids = set()
        for stream in (True, False, True):
            response = await self.call(CHAT, make_chat(stream=stream))
            await read_until_closed(response)
            request_ids.add(response.headers.getRawHeaders("x-request-id")[0])

        settled = [row.request for row in self.rows() if row.settled_at]
        self.assertEqual(sorted(settled), sorted(request_ids))
        self.assertTrue(all(row.usage.cost > 0 for row in self.rows()))

    async def test_order_with_lost_response_is_never_resent(self) -> None:
        # The service runs the order and the connection is lost before the response.
        # The caller gets "may_have_run", and its retries must not run the order again.
        service = self.system.fleet.service
        service.faults.drop_answers = 1
        path = "/v1/services/bookings/orders"
        for _ in range(3):
            response = await self.call(path, {"id": "o-9"}, Idempotency_Key="key-9")
            error = (await read_json(response))["error"]
            self.assertEqual(error["outcome"], "may_have_run")

        self.assertEqual(service.executions["o-9"], 1)

    async def test_refused_order_is_retried_and_runs_once(self) -> None:
        # The service refuses the order before running it and says so. Sending it again
        # once is therefore safe, and the caller needn't notice.
        service = self.system.fleet.service
        service.faults.refuse = 1
        path = "/v1/services/bookings/orders"
        response = await self.call(path, {"id": "o-10"}, Idempotency_Key="key-10")
        body = await read_json(response)
        if response.code == 503:
            self.assertEqual(body["error"]["outcome"], "not_run")
            response = await self.call(path, {"id": "o-10"}, Idempotency_Key="key-10")

        self.assertEqual(response.code, 201)
        self.assertEqual(service.executions["o-10"], 1)
