"""The review command on logs of several processes."""

from __future__ import annotations

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from waxwingwell.commands.review import review


def end(at: float, outcome: str, **fields: Any) -> dict[str, Any]:
    """Return the line that a gateway logs at the end of a request."""
    known = {"at": at, "node": "g1", "event": "gateway: Request ended", "request": "q"}
    return {**known, "route": "chat", "outcome": outcome, "attempts": 1, **fields}


LINES: list[dict[str, Any]] = [
    end(10.1, "answered", first_ms=120, pause_ms=40),
    end(10.2, "answered", first_ms=300, pause_ms=900),
    end(13.0, "cut", reason="no data for 1.7 s", events=7),
    end(13.1, "refused", reason="no upstream left"),
    {
        "at": 13.2,
        "event": "gateway: Attempt ended",
        "fate": "broken",
        "reason": "no data for 2.1 s",
    },
    {"at": 13.2, "event": "gateway: Larger model", "confidence": 0.2},
]


class ReviewTest(unittest.TestCase):
    """Tables of outcomes, computed from log files."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def write(self, name: str, *text: str) -> str:
        """Write a log and return its path."""
        path = self.folder / name
        path.write_text("\n".join(text))
        return str(path)

    def run_review(self, *files: str, **options: Any) -> str:
        """Run the command and return its output."""
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            review(*files, **options)

        return output.getvalue()

    def test_requests_by_route_time_and_reason(self) -> None:
        first = self.write("a.log", *(json.dumps(line) for line in LINES[:3]))
        second = self.write("b.log", *(f"x {json.dumps(line)}" for line in LINES[3:]))
        text = self.run_review(first, second)
        rows = [line.split() for line in text.splitlines()]
        counts = ["4", "2", "0", "1", "0", "1", "0", "0", "4"]
        self.assertIn(["chat", *counts, "120", "120", "40", "900"], rows)
        self.assertEqual([row[:2] for row in rows if row[:1] == ["2"]], [["2", "2"]])
        for part in (
            "chat cut no data for # s",
            "chat refused no upstream left",
            "broken no data for # s",
            "chat after 7 events",
            "larger model's: 1",
        ):
            with self.subTest(part):
                self.assertIn(part, text)

    def test_engines_by_speed(self) -> None:
        """Guards against slow engines whose users are not known.

        Each control logs a change; their logs are read one after the other.
        """
        placed = [
            {"at": 1.0, "node": node, "event": "gateway: Placed", **fields}
            for node, fields in (
                ("g1", {"upstream": "u1", "route": "chat"}),
                ("g2", {"upstream": "u1", "route": "chat"}),
                ("g2", {"upstream": "u1", "route": "tags"}),
                ("g1", {"upstream": "u2", "route": "chat"}),
                ("g1", {"upstream": "u3", "route": "chat"}),
                ("g1", {"upstream": "g2", "route": "chat", "relayed": True}),
            )
        ]
        speeds = [
            {"at": at, "event": "registry: Engine speed changed", **fields}
            for at, fields in (
                (2.0, {"upstream": "u1", "factor": 2.5}),
                (3.0, {"upstream": "u2", "factor": 4.0}),
                (9.0, {"upstream": "u2", "factor": 1.0}),
                (3.1, {"upstream": "u2", "factor": 3.0}),
                (4.0, {"upstream": "u4", "factor": 1.5}),
                (8.0, {"upstream": "u4", "factor": None}),
                (8.0, {"upstream": "u5", "factor": 0.5}),
            )
        ]
        path = self.write("a.log", *(json.dumps(line) for line in placed + speeds))
        text = self.run_review(path)
        rows = [line.split() for line in text.split("Engines by speed")[1].splitlines()]
        self.assertEqual(
            rows[3:8],
            [
                ["u1", "2.50", "2.50", "3", "2", "chat", "2,", "tags", "1"],
                ["u2", "1.00", "4.00", "1", "1", "chat", "1"],
                ["u4", "1.00", "1.50", "0", "0"],
                ["u3", "1.00", "1.00", "1", "1", "chat", "1"],
                ["u5", "0.50", "1.00", "0", "0"],
            ],
        )
        self.assertNotIn("could not be read", text)

    def test_equal_engines_are_not_listed(self) -> None:
        line = {"at": 1.0, "event": "gateway: Placed", "upstream": "u1"}
        path = self.write("a.log", json.dumps(line))
        self.assertNotIn("Engines", self.run_review(path))

    def test_unreadable_lines_are_counted_and_named(self) -> None:
        path = self.write(
            "a.log",
            "no line",
            '{"at":',
            json.dumps(LINES[0]),
            '{"at": "x", "event": 1}',
        )
        text = self.run_review(path)
        self.assertIn(f"could not be read: 3, the first: {path}:1, {path}:2", text)

    def test_input_that_can_not_be_used(self) -> None:
        empty = self.write("empty.log", "")
        for name, path, window, code in (
            ("empty", empty, 2.0, 1),
            ("missing", str(self.folder / "none"), 2.0, 2),
            ("no window", empty, 0.0, 2),
        ):
            with (
                self.subTest(name),
                contextlib.redirect_stderr(io.StringIO()) as errors,
                self.assertRaises(SystemExit) as ended,
            ):
                review(path, window=window)

            self.assertEqual(ended.exception.code, code)
            self.assertNotEqual(errors.getvalue(), "")

    def test_plot(self) -> None:
        path = self.write("a.log", *(json.dumps(line) for line in LINES))
        drawn = self.folder / "windows.png"
        self.run_review(path, plot=str(drawn))
        self.assertGreater(drawn.stat().st_size, 1_000)


if __name__ == "__main__":
    unittest.main()
