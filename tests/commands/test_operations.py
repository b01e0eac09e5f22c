"""The commands that show the system or change roll-outs, versions and members."""

from __future__ import annotations

import json
import unittest

from waxwingwell.adapters.admin_views import MembersReply
from waxwingwell.adapters.admin_views import MemberView
from waxwingwell.adapters.admin_views import SessionView
from waxwingwell.adapters.admin_views import UpstreamView
from waxwingwell.adapters.control.status import EntryStatus
from waxwingwell.adapters.control.status import MemberStatus
from waxwingwell.adapters.control.status import StatusReply
from waxwingwell.records import UpstreamKind
from waxwingwell.records import VersionId
from waxwingwell.records import VersionStatus
from waxwingwell.records import WorkspaceId
from waxwingwell.state.bills import Bill

from .fake_admin import FakeAdmin
from .fake_admin import add_versions
from .fake_admin import run


STATUS = StatusReply(
    node="control-1",
    leader="",
    leads=False,
    term=7,
    config_version=12,
    halted="",
    members=(MemberStatus("control-2", up=False),),
    entries=(EntryStatus("entry-1", 3, 12, -0.5),),
    open_rows=2,
    breaches={"BILLED_ONCE": 1},
)
UPSTREAM = UpstreamView(
    upstream="engine-1",
    kind=UpstreamKind.MODEL,
    data_centre="bole",
    address="10.0.0.1:80",
    lease_left=2.5,
    versions=("small@1",),
    capacity=8,
    running=3,
    leaving=True,
)
BILL = Bill(WorkspaceId("demo"), VersionId("small@1"), 3, 2, 1, cost=1_500_000)
VIEWS = {
    "/status": STATUS,
    "/upstreams": (UPSTREAM,),
    "/sessions?workspace=demo": (SessionView("demo", "s-1", "small@1", 86400.0),),
    "/bills": (BILL,),
    "/audit": (),
}


class ViewTest(unittest.TestCase):
    """Views print a table by default and JSON with ``--json``."""

    def test_tables_and_json(self) -> None:
        cases: tuple[tuple[tuple[str, ...], tuple[str, ...]], ...] = (
            (
                ("status",),
                (
                    "leader unknown, term 7, seen by control-1",
                    "BROKEN INVARIANT: BILLED_ONCE, 1 times",
                    "NO LEADER",
                    "ENTRY WITHOUT LEASE: entry-1",
                ),
            ),
            (("upstreams",), ("engine-1", "3+0/8", "leaving")),
            (("sessions", "demo"), ("s-1", "small@1", "1970-01-02")),
            (("bills",), ("small@1", "1.500000")),
            (("audit",), ("operator",)),
            (("versions",), ("small@1", "active")),
        )
        admin = FakeAdmin(views=dict(VIEWS))
        add_versions(admin, "small@1")
        for words, texts in cases:
            with self.subTest(words):
                code, out, _ = run(admin, *words)
                self.assertEqual(code, 0)
                for text in texts:
                    self.assertIn(text, out)

                code, out, _ = run(admin, *words, "--json")
                self.assertEqual(code, 0)
                json.loads(out)

    def test_no_control_is_reachable(self) -> None:
        admin = FakeAdmin(down=True)
        code, _, err = run(admin, "status")
        self.assertEqual((code, err), (4, "connection refused\n"))
        self.assertGreater(len(admin.requests), 4)


class RolloutTest(unittest.TestCase):
    """Commands that change roll-outs and versions in the real configuration table."""

    def setUp(self) -> None:
        self.admin = FakeAdmin()
        add_versions(self.admin, "small@1", "small@2")

    def test_start_pause_resume_withdraw(self) -> None:
        steps = (
            (("start", "small", "small@2", "small@1", "--pace=quick"), "running"),
            (("pause", "small", "--reason=lunch"), "paused"),
            (("resume", "small"), "running"),
            (("withdraw", "small@2"), "rolled_back"),
        )
        for words, status in steps:
            with self.subTest(words):
                code, _, err = run(self.admin, "rollout", *words)
                self.assertEqual(code, 0, err)
                self.assertEqual(self.admin.table.rollouts["small"].status, status)
                self.assertIn(status, run(self.admin, "rollout", "show")[1])

        spec = self.admin.table.versions[VersionId("small@2")]
        self.assertEqual(spec.status, VersionStatus.WITHDRAWN)

    def test_refusals(self) -> None:
        cases = (
            (("rollout", "pause", "small"), 1),
            (("rollout", "start", "small", "small@2", "small@1", "--pace=x"), 2),
            (("rollout", "start", "small", "small@2", "small@2"), 1),
            (("rollout", "withdraw", "small@1", "--revision=5"), 3),
            (("register", "small", "1", "2"), 1),
            (("register", "small@3", "cheap", "2"), 2),
        )
        for words, expected in cases:
            with self.subTest(words):
                self.assertEqual(run(self.admin, *words)[0], expected)

        self.assertEqual(self.admin.table.config_version, 0)

    def test_register_and_correct(self) -> None:
        for price in ("1", "3"):
            self.assertEqual(run(self.admin, "register", "small@3", price, "2")[0], 0)

        spec = self.admin.table.versions[VersionId("small@3")]
        self.assertEqual((spec.model, spec.price_in), ("small", 3.0))


class MembersTest(unittest.TestCase):
    """Commands that change members wait until the change is done."""

    def test_waits(self) -> None:
        voter = MemberView("control-4", "voter", "up")
        drained = MemberView("entry-1", "entry", "drained")
        cases = (
            (("add", "control-4", "10.0.0.4", "9000"), (voter,), 0),
            (("add", "control-4", "10.0.0.4", "0"), (voter,), 2),
            (("remove", "control-4"), (), 0),
            (("remove", "control-4"), (voter,), 4),
            (("drain", "entry-1"), (drained,), 0),
            (("drain", "entry-1", "--nowait"), (voter,), 0),
        )
        for words, members, expected in cases:
            with self.subTest(words):
                admin = FakeAdmin(views={"/members": MembersReply(members)})
                code, _, err = run(admin, "members", *words)
                self.assertEqual(code, expected, err)
