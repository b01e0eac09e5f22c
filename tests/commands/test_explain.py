"""The explain command on logs of several processes."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from waxwingwell.commands.explain import explain


def write_log(folder: str, name: str, *lines: dict[str, Any]) -> str:
    """Write a log that also has unstructured lines, and return its path."""
    path = Path(folder) / name
    text = ["not a line of ours", '{"half":', *(json.dumps(line) for line in lines)]
    path.write_text("\n".join(text))
    return str(path)


def end(**fields: Any) -> dict[str, Any]:
    """Return the line that a gateway logs at the end of a request."""
    known = {"at": 12.0, "node": "e1", "event": "gateway: Request ended"}
    return {**known, "request": "q1", "status": 503, **fields}


class ExplainTest(unittest.TestCase):
    """The explanation of a request, found by its id."""

    def test_a_wait_for_room_is_explained(self) -> None:
        """Guards against waits and refusals whose reason nobody finds."""
        line = {"node": "e1", "request": "q1"}
        queued = {"rank": 2, "place": 7, "running": 90, "slots": 100}
        short = {**queued, "service": "chat", "tokens": 9_000, "memory": 10_000}
        with tempfile.TemporaryDirectory() as folder:
            path = write_log(
                folder,
                "e1.log",
                {**line, "at": 1.0, "event": "gateway: Queued", **short},
                {
                    **line,
                    "at": 3.0,
                    "event": "gateway: Dequeued",
                    "waited_ms": 2_000,
                    "result": "refused",
                },
                end(outcome="refused", reason="waited in vain for room"),
            )
            text = explain("q1", path)

        for expected in (
            "90 requests ran in 100 slots and needed 9000 of 10000 tokens",
            "7 requests were before it, its rank was 2",
            "after 2000 ms: refused",
            "waited in vain for room",
        ):
            self.assertIn(expected, text)

    def test_outcome_and_reason_are_shown(self) -> None:
        for outcome, reason, expected in (
            ("refused", "no upstream left", "did not run anywhere"),
            ("cut", "answer not whole", "broke off after it had begun"),
            ("may_have_run", "deadline", "whether it ran is unknown"),
            ("passed_on_failure", "status 500", "The upstream itself failed it"),
            ("undelivered", "Connection to the other side was lost", "had left"),
        ):
            with self.subTest(outcome), tempfile.TemporaryDirectory() as folder:
                path = write_log(folder, "e1.log", end(outcome=outcome, reason=reason))
                explanation = explain("q1", path)
                self.assertIn(expected, explanation)
                self.assertIn(f"reason: {reason}", explanation)

    def test_an_undelivered_response_is_reported(self) -> None:
        """Guards against an explanation that hides a response cut short.

        The gateway had received the complete response and logged the request as
        answered, but its process ended before the last bytes were sent.
        """
        cut = {"at": 12.001, "node": "e1", "event": "http: Answer cut", "request": "q1"}
        with tempfile.TemporaryDirectory() as folder:
            path = write_log(
                folder,
                "e1.log",
                end(outcome="answered", status=200),
                {**cut, "outcome": "undelivered", "unsent": 61, "stopping": True},
            )
            explanation = explain("q1", path)

        self.assertIn("unsent=61", explanation)
        self.assertIn("before all had left", explanation)

    def test_lines_of_several_processes_are_joined(self) -> None:
        """A gateway's log and that of a control whose clock is ahead are joined.

        Lines of other requests and of processes that didn't handle the request are left
        out; the gateway's preceding state change is shown first.
        """
        state_change = {"at": 11.0, "node": "e1", "event": "gateway: Document in force"}
        placed = {"at": 11.5, "node": "e1", "event": "gateway: Placed", "request": "q1"}
        other = {"at": 11.6, "node": "e1", "event": "gateway: Placed", "request": "q2"}
        control = {"at": 99.0, "node": "c1", "event": "registry: Order"}
        with tempfile.TemporaryDirectory() as folder:
            first = write_log(
                folder,
                "e1.log",
                {**state_change, "version": 4},
                {**placed, "upstream": "u1"},
                {**other, "upstream": "u2"},
                end(outcome="cut", reason="answer not whole"),
            )
            second = write_log(folder, "c1.log", control)
            explanation = explain("q1", first, second)

        self.assertIn("Document in force version=4", explanation)
        self.assertIn("upstream=u1", explanation)
        self.assertNotIn("u2", explanation)
        self.assertNotIn("registry", explanation)
        self.assertLess(explanation.index("Document"), explanation.index("Placed"))

    def test_the_gateway_of_the_caller_tells_the_outcome(self) -> None:
        """Guards against the outcome at a relay, of which the caller saw nothing."""
        with tempfile.TemporaryDirectory() as folder:
            own = write_log(folder, "e1.log", end(outcome="cut", reason="no answer"))
            relay = write_log(
                folder, "e2.log", end(node="e2", outcome="answered", relayed=True)
            )
            explanation = explain("q1", own, relay)

        self.assertIn("broke off after it had begun", explanation)
        self.assertIn("relayed=True", explanation)

    def test_unknown_requests_and_files(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = write_log(folder, "e1.log", end(outcome="cut"))
            missing = str(Path(folder) / "none.log")
            for request, name, code in (("q9", path, 1), ("q1", missing, 2)):
                with self.subTest(name), self.assertRaises(SystemExit) as caught:
                    explain(request, name)

                self.assertEqual(caught.exception.code, code)
