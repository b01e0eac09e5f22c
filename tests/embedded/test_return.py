"""Resumption of a stream by a caller that lost its connection."""

from __future__ import annotations

from tests.standins.support import read_until_closed
from waxwingwell.records import OutcomeKind
from waxwingwell_standins.faults import EngineFaults

from .support import CHAT
from .support import EmbeddedTestCase
from .support import make_chat


DONE = b"data: [DONE]\n\n"
KEY = "report-1"


class ResumptionTest(EmbeddedTestCase):
    """Retries with one idempotency key get the same stream, run and billed once."""

    async def test_stream_continues_after_the_last_event(self) -> None:
        # A client that loses its connection in the middle of a stream reconnects with
        # the same key and the id of the last event it received. It must get the
        # remaining events, and the request must run and be billed once.
        first = await self.call(
            CHAT, make_chat(stream=True, max_tokens=12), Idempotency_Key=KEY
        )
        complete = await read_until_closed(first)
        events = complete.split(b"\n\n")[:-1]
        request_id = first.headers.getRawHeaders("x-request-id")[0]
        for position in (0, 4, len(events) - 1):
            with self.subTest(position):
                retry = await self.call(
                    CHAT,
                    make_chat(stream=True, max_tokens=12),
                    Idempotency_Key=KEY,
                    Last_Event_ID=f"{request_id}:{position}",
                )
                self.assertEqual(retry.code, 200)
                self.assertEqual(
                    retry.headers.getRawHeaders("x-request-id")[0], request_id
                )
                rest = (await read_until_closed(retry)).split(b"\n\n")[:-1]
                self.assertEqual(rest, events[position:])

        runs = sum(
            engine.runs.get(request_id, 0) for engine in self.system.fleet.engines
        )
        self.assertEqual(runs, 1)
        rows = list(self.system.control.context.holder.state.ledger.rows.values())
        self.assertEqual(len(rows), 1)
        self.assertEqual(rows[0].outcome, OutcomeKind.COMPLETED)
        self.assertGreater(rows[0].usage.answer_tokens, 0)

    async def test_response_that_no_engine_holds_is_an_error(self) -> None:
        # The engine that held the response is gone. The caller must get an error that
        # says so, and the request must not silently run and be billed again.
        first = await self.call(CHAT, make_chat(stream=True), Idempotency_Key=KEY)
        await read_until_closed(first)
        for engine in self.system.fleet.engines:
            engine.faults = EngineFaults(drop_after=0)

        retry = await self.call(CHAT, make_chat(stream=True), Idempotency_Key=KEY)
        self.assertEqual(retry.code, 409)
        self.assertIn(b"already_answered", await read_until_closed(retry))
