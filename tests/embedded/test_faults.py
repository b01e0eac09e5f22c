"""Engines and services that misbehave, seen from the caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.standins.support import read_cut
from tests.standins.support import read_json
from waxwingwell_standins.faults import EngineFaults

from .support import CHAT
from .support import EmbeddedTestCase
from .support import make_chat


if TYPE_CHECKING:
    from waxwingwell.records import LedgerRow


DONE = b"data: [DONE]\n\n"

STREAM_FAULTS: tuple[tuple[str, EngineFaults], ...] = (
    ("cut before the first event", EngineFaults(times=1, drop_after=0)),
    ("cut in the middle", EngineFaults(times=1, drop_after=3)),
    ("cut thrice", EngineFaults(times=3, drop_after=2)),
    ("doubled events", EngineFaults(times=1, duplicate_every=2)),
    ("swapped events", EngineFaults(times=1, reorder_every=3)),
    ("answer of another request", EngineFaults(times=1, answer_as="req-other")),
)


class StreamFaultTest(EmbeddedTestCase):
    """Each fault on every engine; the answer arrives whole all the same."""

    async def test_answer_is_whole(self) -> None:
        # A golfer's answer must not stop halfway or show another golfer's words,
        # whatever happens on the connection to the engine behind the router.
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
                data = await read_cut(response)
                name_sent = response.headers.getRawHeaders("x-request-id")[0]
                self.assertTrue(data.endswith(DONE), data[-300:])
                ids = [line for line in data.splitlines() if line.startswith(b"id: ")]
                expected = [
                    f"id: {name_sent}:{number}".encode()
                    for number in range(1, len(ids) + 1)
                ]
                self.assertEqual(ids, expected)

    async def test_refusing_engine_is_passed_by(self) -> None:
        # One engine is full and says so before running; the other one answers.
        self.system.fleet.engines[0].faults = EngineFaults(refuse=True)
        for _ in range(4):
            response = await self.call(CHAT, make_chat(stream=True))
            self.assertTrue((await read_cut(response)).endswith(DONE))

    async def test_not_run_is_never_said_of_what_ran(self) -> None:
        # Every engine takes the request and answers under another name. No engine is
        # left, but the work has run: the caller must not read "not run".
        for engine in self.system.fleet.engines:
            engine.faults = EngineFaults(answer_as="req-other")

        for stream in (True, False):
            with self.subTest(stream=stream):
                response = await self.call(CHAT, make_chat(stream=stream))
                error = (await read_json(response))["error"]
                self.assertEqual(error["outcome"], "failed")

    async def test_silent_engine_is_resumed(self) -> None:
        # An open connection goes silent for good while new ones work. The stream
        # must go on over a new one once the progress deadline has passed.
        settings = self.system.entry.context.settings
        self.system.entry.context.settings = settings.model_copy(
            update={"progress_timeout": 0.2}
        )
        for engine in self.system.fleet.engines:
            engine.faults = EngineFaults(times=1, silent_after=2)

        response = await self.call(CHAT, make_chat(stream=True))
        self.assertTrue((await read_cut(response)).endswith(DONE))


class BillingTest(EmbeddedTestCase):
    """Rows and bills of what was answered."""

    def rows(self) -> list[LedgerRow]:
        return list(self.system.control.context.holder.state.ledger.rows.values())

    async def test_each_answer_has_one_settled_row(self) -> None:
        names = set()
        for stream in (True, False, True):
            response = await self.call(CHAT, make_chat(stream=stream))
            await read_cut(response)
            names.add(response.headers.getRawHeaders("x-request-id")[0])

        settled = [row.request for row in self.rows() if row.settled_at]
        self.assertEqual(sorted(settled), sorted(names))
        self.assertTrue(all(row.usage.cost > 0 for row in self.rows()))

    async def test_order_whose_answer_is_lost_is_never_sent_again(self) -> None:
        # The service builds the club and the connection dies before its answer. The
        # caller is told that it may have run; asking again must not build it twice.
        service = self.system.fleet.service
        service.faults.drop_answers = 1
        path = "/v1/services/bookings/orders"
        for _ in range(3):
            response = await self.call(path, {"id": "o-9"}, Idempotency_Key="key-9")
            error = (await read_json(response))["error"]
            self.assertEqual(error["outcome"], "may_have_run")

        self.assertEqual(service.executions["o-9"], 1)

    async def test_refused_order_is_retried_and_runs_once(self) -> None:
        # The service refuses before running, and says so: it is safe to send the
        # order again, once, and the caller need not know.
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
