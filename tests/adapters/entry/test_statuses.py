"""Statuses of upstreams' responses at the entries."""

from __future__ import annotations

import unittest
from types import SimpleNamespace
from typing import Any
from unittest import mock

from twisted.internet.defer import Deferred
from twisted.internet.defer import succeed
from twisted.internet.task import Clock
from twisted.web.http_headers import Headers

from waxwingwell.adapters.entry.upstream_client import AttemptError
from waxwingwell.adapters.entry.upstream_client import UpstreamCall
from waxwingwell.adapters.entry.upstream_client import send_call


CALL = UpstreamCall(method="POST", path="/", request="r1", priority="normal")


class StatusTest(unittest.TestCase):
    """Responses whose status the protocol may not know."""

    def test_only_statuses_of_the_protocol_are_answers(self) -> None:
        """Guards against a number outside the protocol that is taken for an answer."""
        for status, is_answer in (
            (0, False),
            (99, False),
            (100, True),
            (200, True),
            (599, True),
            (600, False),
            (999, False),
        ):
            with self.subTest(status):
                response = mock.Mock(code=status, headers=Headers())
                agent = mock.Mock()
                agent.request.side_effect = lambda *_, found=response: succeed(found)
                context: Any = SimpleNamespace(
                    client=SimpleNamespace(pooled=agent), reactor=Clock()
                )
                announcement = SimpleNamespace(host="127.0.0.1", port=1)
                row: Any = SimpleNamespace(announcement=announcement)
                found: list[Any] = []
                sent = send_call(context, row, CALL, limit=1.0)
                Deferred.fromCoroutine(sent).addBoth(found.append)
                if is_answer:
                    self.assertEqual(found, [response])
                    continue

                self.assertIsInstance(found[0].value, AttemptError)
                self.assertTrue(found[0].value.may_have_run)
                response.deliverBody.assert_called_once()


if __name__ == "__main__":
    unittest.main()
