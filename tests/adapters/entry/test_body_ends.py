"""Bodies of upstreams' responses at the entries."""

from __future__ import annotations

import unittest
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any
from unittest import mock

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone
from twisted.web.client import ResponseFailed
from twisted.web.http import PotentialDataLoss

from waxwingwell.adapters.entry import attempts
from waxwingwell.adapters.entry.upstream_client import AttemptError
from waxwingwell.records import UpstreamId


UPSTREAM = UpstreamId("u1")


@dataclass(slots=True)
class Response:
    """A response whose body ends with a given reason."""

    end: Exception
    code: int = 200
    phrase: bytes = b"OK"

    def deliverBody(self, protocol: Any) -> None:  # noqa: N802
        """Deliver a part of the body, then its end."""
        protocol.makeConnection(mock.Mock())
        protocol.dataReceived(b"some")
        protocol.connectionLost(Failure(self.end))


class BodyTest(unittest.TestCase):
    """The end of a body."""

    def test_only_a_stated_end_completes_a_body(self) -> None:
        """Guards against bodies that were broken off by a clean close."""
        for name, end, expected in (
            ("stated", ResponseDone(), b"some"),
            ("unstated", PotentialDataLoss(), None),
            ("cut", ResponseFailed([]), None),
        ):
            with (
                self.subTest(name),
                mock.patch.object(attempts, "finish_attempt") as finish,
            ):
                context: Any = SimpleNamespace(reactor=Clock())
                response: Any = Response(end)
                found: list[Any] = []
                read = attempts.read_response_body(
                    context, response, UPSTREAM, limit=1.0
                )
                Deferred.fromCoroutine(read).addBoth(found.append)
                if expected is not None:
                    self.assertEqual(found, [expected])
                    continue

                [failure] = found
                self.assertIsInstance(failure.value, AttemptError)
                self.assertTrue(failure.value.may_have_run)
                finish.assert_called_once_with(context, UPSTREAM, failed=True)
