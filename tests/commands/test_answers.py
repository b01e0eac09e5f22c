"""The answers commands: new files, checks, applied changes and conflicts."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path

from .fake_admin import FakeAdmin
from .fake_admin import add_versions
from .fake_admin import run


EXAMPLE = Path(__file__).resolve().parents[2] / "examples" / "demo.json"


class AnswersTest(unittest.TestCase):
    """Commands on an empty system that has the demo's versions registered."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.admin = FakeAdmin()
        add_versions(self.admin, "small@1", "small@2", "large@1", "large@2")

    def write(self, name: str, **changes: object) -> str:
        answers = {**json.loads(EXAMPLE.read_bytes()), **changes}
        path = self.folder / name
        path.write_text(json.dumps(answers), encoding="utf-8")
        return str(path)

    def test_new_answers_are_valid(self) -> None:
        file = str(self.folder / "mine.json")
        code, out, _ = run(self.admin, "answers", "new", file, "--workspace=mine")
        self.assertEqual(code, 0)
        secret = out.split(": ")[1].strip()
        self.assertTrue(secret.startswith("wax_"))
        self.assertNotIn(secret, Path(file).read_text(encoding="utf-8"))
        self.assertEqual(run(self.admin, "answers", "check", file)[0], 0)
        self.assertEqual(run(self.admin, "answers", "new", file)[0], 2)

    def test_check_shows_every_finding(self) -> None:
        file = self.write("bad.json", default_kind="x", models={"allowed": ["z@1"]})
        code, out, err = run(self.admin, "answers", "check", file)
        self.assertEqual(code, 2)
        self.assertEqual(out, "")
        self.assertIn("2 findings", err)
        self.assertIn("default_kind: ", err)
        self.assertIn("models.allowed.0: the version 'z@1' is not registered", err)

    def test_check_offline_needs_no_system(self) -> None:
        self.admin.down = True
        file = self.write("a.json", models={"allowed": ["z@1"]})
        self.assertEqual(run(self.admin, "answers", "check", file, "--offline")[0], 0)
        self.assertEqual(run(self.admin, "answers", "check", file)[0], 4)

    def test_apply_waits_until_in_force(self) -> None:
        self.admin.polls_until_in_force = 2
        code, out, err = run(
            self.admin, "answers", "apply", self.write("a.json"), "--yes"
        )
        self.assertEqual(code, 0)
        self.assertIn("accepted: workspace:demo is at revision 1", out)
        self.assertEqual(
            err.splitlines(), ["waiting for entry-2", "in force: configuration 1"]
        )
        shown = json.loads(run(self.admin, "answers", "show", "demo")[1])
        self.assertEqual(shown["revises"], 1)

    def test_apply_that_is_never_in_force(self) -> None:
        self.admin.polls_until_in_force = 100_000
        code, _, err = run(
            self.admin, "answers", "apply", self.write("a.json"), "--yes"
        )
        self.assertEqual(code, 4)
        self.assertIn("is accepted, and not yet in force", err)

    def test_apply_asks_first(self) -> None:
        file = self.write("a.json")
        code, _, err = run(self.admin, "answers", "apply", file)
        self.assertEqual(code, 2)
        self.assertIn("nothing was changed", err)
        self.assertEqual(self.admin.table.config_version, 0)

    def test_lost_response_applies_once(self) -> None:
        """Guards against applying a change twice when its response is lost.

        The client retries under the same change id and receives the first outcome.
        """
        self.admin.lost_responses = 1
        code, out, _ = run(
            self.admin, "answers", "apply", self.write("a.json"), "--yes"
        )
        self.assertEqual(code, 0)
        self.assertIn("is at revision 1", out)
        self.assertEqual(self.admin.table.config_version, 1)

    def test_two_operators_race(self) -> None:
        """Guards against a lost update when two operators revise the same revision.

        The first apply creates revision 2. The second is refused as a conflict, which
        shows the difference from the current answers.
        """
        run(self.admin, "answers", "apply", self.write("a.json"), "--yes")
        first = self.write("b.json", revises=1, limits={"max_in_flight": 10})
        second = self.write("c.json", revises=1, default_kind="tag")
        self.assertEqual(run(self.admin, "answers", "apply", first, "--yes")[0], 0)
        code, _, err = run(self.admin, "answers", "apply", second, "--yes")
        self.assertEqual(code, 3)
        self.assertIn("workspace:demo is at revision 2, not at 1", err)
        self.assertIn("requests at the same time: 10 -> 64", err)
        self.assertEqual(self.admin.table.config_version, 2)

    def test_revise_and_diff(self) -> None:
        run(self.admin, "answers", "apply", self.write("a.json"), "--yes")
        path = self.folder / "r.json"
        self.assertEqual(run(self.admin, "answers", "revise", "demo", str(path))[0], 0)
        self.assertEqual(
            run(self.admin, "answers", "diff", str(path))[1],
            "nothing changes for callers\n",
        )
        answers = json.loads(path.read_text(encoding="utf-8"))
        answers["kinds"][0]["quality_target"] = 0.9
        path.write_text(json.dumps(answers), encoding="utf-8")
        lines = json.loads(run(self.admin, "answers", "diff", str(path), "--json")[1])
        self.assertEqual(lines, ["question: quality target 0.75 -> 0.9"])
        self.assertEqual(run(self.admin, "answers", "apply", str(path), "--yes")[0], 0)
        self.assertEqual(self.admin.table.revisions["workspace:demo"], 2)

    def test_refusals(self) -> None:
        file = self.write("a.json")
        cases = (
            ("unknown workspace", ("answers", "show", "other"), 1),
            ("missing file", ("answers", "check", str(self.folder / "no")), 2),
            ("unknown role", ("answers", "key", "app", "--role=boss"), 2),
            ("unknown option", ("answers", "check", file, "--colour=red"), 2),
        )
        for name, words, expected in cases:
            with self.subTest(name):
                self.assertEqual(run(self.admin, *words)[0], expected)

        code, _, err = run(self.admin, "answers", "show", "demo", key="wrong")
        self.assertEqual((code, err), (1, "unknown key\n"))
