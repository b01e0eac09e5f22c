"""A caller that lost its connection comes back for the rest of its answer."""

from __future__ import annotations

from tests.standins.support import read_cut
from waxwingwell.records import OutcomeKind
from waxwingwell_standins.faults import EngineFaults

from .support import CHAT
from .support import EmbeddedTestCase
from .support import make_chat


DONE = b"data: [DONE]\n\n"
KEY = "report-1"


class ReturnTest(EmbeddedTestCase):
    """The same key, the same answer, one run, one bill."""

    async def test_rest_comes_after_the_last_event(self) -> None:
        # A fitter's tablet loses its connection in the middle of a report. It comes
        # back with the same key and the last event that it has: it must get the rest,
        # and the report must be written and billed once.
        first = await self.call(
            CHAT, make_chat(stream=True, max_tokens=12), Idempotency_Key=KEY
        )
        whole = await read_cut(first)
        events = whole.split(b"\n\n")[:-1]
        name = first.headers.getRawHeaders("x-request-id")[0]
        for place in (0, 4, len(events) - 1):
            with self.subTest(place):
                again = await self.call(
                    CHAT,
                    make_chat(stream=True, max_tokens=12),
                    Idempotency_Key=KEY,
                    Last_Event_ID=f"{name}:{place}",
                )
                self.assertEqual(again.code, 200)
                self.assertEqual(again.headers.getRawHeaders("x-request-id")[0], name)
                rest = (await read_cut(again)).split(b"\n\n")[:-1]
                self.assertEqual(rest, events[place:])

        runs = sum(engine.runs.get(name, 0) for engine in self.system.fleet.engines)
        self.assertEqual(runs, 1)
        rows = list(self.system.control.context.holder.state.ledger.rows.values())
        self.assertEqual(len(rows), 1)
        self.assertEqual(rows[0].outcome, OutcomeKind.COMPLETED)
        self.assertGreater(rows[0].usage.answer_tokens, 0)

    async def test_answer_that_no_engine_holds_is_told(self) -> None:
        # The engine that held the answer is gone. The caller must be told so, and
        # the request must not silently run and be billed again.
        first = await self.call(CHAT, make_chat(stream=True), Idempotency_Key=KEY)
        await read_cut(first)
        for engine in self.system.fleet.engines:
            engine.faults = EngineFaults(drop_after=0)

        again = await self.call(CHAT, make_chat(stream=True), Idempotency_Key=KEY)
        self.assertEqual(again.code, 409)
        self.assertIn(b"already_answered", await read_cut(again))
