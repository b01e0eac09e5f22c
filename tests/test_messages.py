"""Commands are unchanged after encoding and decoding."""

from __future__ import annotations

import unittest

import msgspec

from waxwingwell.messages import Command
from waxwingwell.messages import PinSession
from waxwingwell.messages import Settle
from waxwingwell.records import OutcomeKind
from waxwingwell.records import StoredResponse
from waxwingwell.records import VersionId
from waxwingwell.records import WorkspaceId


CASES: tuple[tuple[str, Command], ...] = (
    (
        "pin",
        PinSession(
            workspace=WorkspaceId("w"),
            session="s",
            version=VersionId("a@1"),
            at=1.0,
        ),
    ),
    (
        "settle with bytes",
        Settle(
            workspace=WorkspaceId("w"),
            key="k",
            request="r",
            outcome=OutcomeKind.COMPLETED,
            at=2.0,
            answer=StoredResponse(status=200, content_type="x/y", body=b"\xff\x00"),
        ),
    ),
)


class MessageTest(unittest.TestCase):
    """Encoding and decoding are inverse operations."""

    def test_round_trip(self) -> None:
        for name, message in CASES:
            with self.subTest(name):
                data = msgspec.msgpack.encode(message)
                self.assertEqual(msgspec.msgpack.decode(data, type=Command), message)
