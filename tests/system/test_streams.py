"""Chats under failure: broken and mixed-up streams, withdrawal, pins, planned stops."""

from __future__ import annotations

import contextlib
import json
import signal
import socket
import subprocess
import threading
from concurrent.futures import wait
from typing import Any

from scripts.faults import STANDINS_PROCESS
from scripts.faults import get_admin_view
from scripts.faults import get_execution_counts
from scripts.faults import set_faults
from scripts.faults import wait_for_leader
from scripts.launcher import HOST
from scripts.launcher import Deployment
from scripts.launcher import get_status
from scripts.launcher import kill_process
from scripts.launcher import signal_process
from scripts.launcher import wait_process
from scripts.launcher import wait_until
from scripts.topology import CALLER_KEY
from scripts.topology import SERVICE
from scripts.topology import send_change

from .support import ENGINES
from .support import RELAYED_ENTRY
from .support import TIMEOUT_SECONDS
from .support import Response
from .support import SystemCase
from .support import is_complete_stream
from .support import is_ready
from .support import send


DIRECT_ENTRY = "entry-2"
BALANCER = "balancer"
VERSION = "swift@2"
NOTE_LENGTH = 900_000
LARGE_ORDER_COUNT = 12
LIST_ORDERS = (
    f"GET /v1/services/{SERVICE}/orders HTTP/1.1\r\nhost: {HOST}\r\n"
    f"authorization: Bearer {CALLER_KEY}\r\nconnection: close\r\n\r\n"
).encode()


def make_long_chat(tokens: int) -> dict[str, Any]:
    """Return the body of a chat that streams at least ``tokens`` tokens."""
    messages = [{"role": "user", "content": "a long one"}]
    return {"messages": messages, "stream": True, "min_tokens": tokens}


def is_closed(deployment: Deployment, entry: str) -> bool:
    """Return whether an entry no longer accepts connections."""
    port = deployment.ports[f"{entry}.callers"]
    return get_status(f"http://{HOST}:{port}/healthz") == 0


class StreamTest(SystemCase):
    """All engines get the same faults, so that the choice of engine does not matter."""

    def set_engine_faults(self, **faults: object) -> None:
        for engine in ENGINES:
            set_faults(self.system, f"engines/{engine}", **faults)

    def count_runs(self, response: Response) -> int:
        return get_execution_counts(self.system)["chats"].get(response.request, 0)

    def test_connections_that_fail_in_the_middle(self) -> None:
        """An engine's connection fails, or stops sending, in the middle of a stream.

        The rest must be resumed over the next connection: the caller must get the
        complete stream, each event once, from one run of the engine.
        """
        cases = [(name, at) for name in ("drop_after", "silent_after") for at in (0, 4)]
        for fault, at in cases:
            with self.subTest(fault, at=at):
                self.set_engine_faults(**{fault: at, "times": 1})
                response = self.send_chat(DIRECT_ENTRY, f"cut by {fault}", stream=True)
                self.assertEqual(response.status, 200)
                self.assertTrue(is_complete_stream(response.body))
                self.assertEqual(self.count_runs(response), 1)

    def test_duplicate_and_reordered_events(self) -> None:
        """An engine delivers events twice and out of order.

        The caller must get each event once and in order.
        """
        for fault in ("duplicate_every", "reorder_every"):
            with self.subTest(fault):
                self.set_engine_faults(**{fault: 3, "times": 2})
                response = self.send_chat(
                    DIRECT_ENTRY, f"mixed by {fault}", stream=True
                )
                self.assertTrue(is_complete_stream(response.body))

    def test_engine_responds_with_another_request_id(self) -> None:
        """Engines respond to a request under the id of another one.

        Nothing of this may reach the caller, as it could be another caller's response.
        A stream is resumed; a non-streaming request is tried at each engine once and
        fails if all of them respond with another id. The next request succeeds.
        """
        self.set_engine_faults(answer_as="req-of-another", times=1)
        response = self.send_chat(DIRECT_ENTRY, "whose stream?", stream=True)
        self.assertTrue(is_complete_stream(response.body))
        self.set_engine_faults(answer_as="req-of-another", times=1)
        response = self.send_chat(DIRECT_ENTRY, "whose answer?")
        self.assertNotIn(b"req-of-another", response.body)
        # 503 if every engine was tried, 502 if the entry's retry budget, which is
        # shared with the other tests, was used up before.
        self.assertIn(response.status, (502, 503))
        self.assertEqual(response.outcome, "failed")
        self.assertEqual(self.send_chat(DIRECT_ENTRY, "whose answer?").status, 200)

    def test_connections_that_fail_permanently(self) -> None:
        """An engine's connections fail repeatedly after a stream has started.

        The stream can't be completed. The caller must get an error event, not
        something that looks like a normal end.
        """
        self.set_engine_faults(drop_after=1, times=None)
        response = self.send_chat(DIRECT_ENTRY, "never whole", stream=True)
        self.assertFalse(is_complete_stream(response.body))
        last = response.body.rstrip().split(b"data: ")[-1]
        self.assertEqual(json.loads(last)["error"]["outcome"], "failed")

    def test_engines_killed_in_the_middle(self) -> None:
        """Every engine dies while it streams a response.

        The rest of the stream is lost. The caller must soon get an error event, rather
        than wait or get something that looks like a normal end.
        """
        with self.open_stream(DIRECT_ENTRY) as caller:
            data = caller.recv(65_536)
            self.assertIn(b"200 OK", data)
            kill_process(self.system, STANDINS_PROCESS)
            data += b"".join(iter(lambda: caller.recv(65_536), b""))

        self.assertNotIn(b"[DONE]", data)
        self.assertIn(b'"outcome":"failed"', data)
        self.assertTrue(data.endswith(b"0\r\n\r\n"))

    def test_caller_reconnects_to_another_entry(self) -> None:
        """An entry dies in the middle of a stream, and its caller retries with its key.

        The engine still holds the response. Another entry must deliver it completely,
        under the first request's id, without a second run.
        """
        with self.open_stream(RELAYED_ENTRY, tokens=60, key="key-comeback") as caller:
            data = caller.recv(65_536)
            kill_process(self.system, RELAYED_ENTRY)

        head = data.partition(b"\r\n\r\n")[0].decode().lower()
        fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:])
        body = make_long_chat(60)
        path = "/v1/chat/completions"
        response = send(self.system, DIRECT_ENTRY, path, body, key="key-comeback")
        self.assertEqual(response.status, 200)
        self.assertTrue(is_complete_stream(response.body))
        self.assertEqual(response.request, fields["x-request-id"])
        self.assertEqual(self.count_runs(response), 1)

    def open_stream(
        self, entry: str, *, tokens: int = 2000, key: str = ""
    ) -> socket.socket:
        """Start a long stream; return its connection."""
        body = json.dumps(make_long_chat(tokens)).encode()
        caller = socket.create_connection(
            (HOST, self.system.ports[f"{entry}.callers"]), timeout=TIMEOUT_SECONDS
        )
        caller.sendall(
            b"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n"
            + f"authorization: Bearer {CALLER_KEY}\r\n".encode()
            + (f"idempotency-key: {key}\r\n".encode() if key else b"")
            + f"content-length: {len(body)}\r\n\r\n".encode()
            + body
        )
        return caller

    def test_withdrawal_under_load(self) -> None:
        """A version is withdrawn immediately while it serves chats of a session.

        Once the withdrawal is in force, no engine may start work on the version. The
        session's requests are refused, not moved to another version.
        """
        fields = {"session": "pinned-by-withdrawal", "model": VERSION, "max_tokens": 2}
        self.assertEqual(self.send_chat(DIRECT_ENTRY, "first", **fields).status, 200)
        done = threading.Event()
        self.addCleanup(done.set)
        load = self.pool.submit(self.send_chats, done, fields)
        outcome = send_change(
            self.system,
            "WithdrawVersion",
            "withdraw",
            expected_revision=1,
            version=VERSION,
        )
        self.assertEqual(outcome["type"], "Accepted")
        version = outcome["config_version"]
        wait_until(lambda: self.is_in_force(version), "the withdrawal to be in force")
        before = get_execution_counts(self.system)["chats"]
        for entry in (RELAYED_ENTRY, DIRECT_ENTRY):
            response = self.send_chat(entry, "after", **fields)
            self.assertEqual((response.status, response.outcome), (410, "not_run"))

        done.set()
        self.assertIn(410, load.result())
        started = set(get_execution_counts(self.system)["chats"]) - set(before)
        self.assertEqual(started, set())

    def send_chats(self, done: threading.Event, fields: dict[str, object]) -> list[int]:
        statuses = []
        while not done.is_set():
            statuses.append(self.send_chat(RELAYED_ENTRY, "load", **fields).status)

        return statuses

    def is_in_force(self, version: int) -> bool:
        leader = wait_for_leader(self.system)
        path = f"in-force?config_version={version}"
        return bool((get_admin_view(self.system, leader, path) or {}).get("in_force"))

    def test_session_keeps_its_version_through_entry_loss(self) -> None:
        """The entry that chose a session's version dies, and the session continues.

        Another entry knows of the choice only through control. A different version
        would change the style of the responses in mid-conversation.
        """
        session = {"session": "kept", "max_tokens": 2}
        first = self.send_chat(RELAYED_ENTRY, "one", model="heron@2", **session)
        self.assertEqual(first.headers["x-version"], "heron@2")
        kill_process(self.system, RELAYED_ENTRY)
        for prompt in ("two", "three"):
            response = self.send_chat(DIRECT_ENTRY, prompt, **session)
            self.assertEqual(response.status, 200)
            self.assertEqual(response.headers["x-version"], "heron@2")

    def test_planned_stop_of_an_entry(self) -> None:
        """An entry is stopped for an upgrade while callers use the balancer.

        Running streams must complete, and no new request may fail.
        """
        done = threading.Event()
        self.addCleanup(done.set)
        wait_until(
            lambda: is_ready(self.system, RELAYED_ENTRY), "the entry to be ready"
        )
        load = [self.pool.submit(self.send_streams, done, n) for n in range(6)]
        wait_until(lambda: len(self.streamed) > 6, "the load to start")
        signal_process(self.system, RELAYED_ENTRY, signal.SIGTERM)
        self.assertEqual(wait_process(self.system, RELAYED_ENTRY), 0)
        after = len(self.streamed)
        wait_until(lambda: len(self.streamed) > after + 6, "the load to continue")
        done.set()
        wait(load)
        self.assertEqual({response.status for response in self.streamed}, {200})
        self.assertTrue(
            all(is_complete_stream(response.body) for response in self.streamed)
        )

    def test_planned_stop_with_a_slow_reader(self) -> None:
        """An entry is stopped while a caller still reads a long response slowly.

        The request has already finished in the entry's tables, but its bytes are still
        buffered in the entry's memory. An exit at this point would truncate the
        response.
        """
        path = f"/v1/services/{SERVICE}/orders"
        bodies = [
            {"id": f"long-{n}", "note": "x" * NOTE_LENGTH}
            for n in range(LARGE_ORDER_COUNT)
        ]
        sent = [
            self.start_caller(send, self.system, DIRECT_ENTRY, path, body)
            for body in bodies
        ]
        self.assertEqual({item.result().status for item in sent}, {201})

        with socket.socket() as caller:
            # A small buffer, so that most of the response stays in the entry.
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            caller.connect((HOST, self.system.ports[f"{RELAYED_ENTRY}.callers"]))
            caller.settimeout(TIMEOUT_SECONDS)
            caller.sendall(LIST_ORDERS)
            data = caller.recv(1024)
            signal_process(self.system, RELAYED_ENTRY, signal.SIGTERM)
            wait_until(
                lambda: is_closed(self.system, RELAYED_ENTRY), "the entry to leave"
            )
            # Continue to read once the entry has exited, or has waited for a second.
            with contextlib.suppress(subprocess.TimeoutExpired):
                wait_process(self.system, RELAYED_ENTRY, limit=1.0)

            data += b"".join(iter(lambda: caller.recv(65_536), b""))

        self.assertEqual(wait_process(self.system, RELAYED_ENTRY), 0)
        head, _, response_body = data.partition(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"HTTP/1.1 200"), head)
        notes = [item["body"].get("note") for item in json.loads(response_body)]
        self.assertEqual(notes.count("x" * NOTE_LENGTH), LARGE_ORDER_COUNT)

    def setUp(self) -> None:
        super().setUp()
        self.streamed: list[Response] = []

    def send_streams(self, done: threading.Event, number: int) -> None:
        while not done.is_set():
            # Longer than the drain notice to the balancer, so that an entry that does
            # not wait for its streams cuts some of them.
            response = self.send_chat(
                BALANCER, f"stop {number}", stream=True, min_tokens=90
            )
            self.streamed.append(response)
