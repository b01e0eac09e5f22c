"""Headers of requests and responses."""

from __future__ import annotations

import unittest

from waxwingwell.adapters.http.records import find_framing


class FramingTest(unittest.TestCase):
    """What ends a response."""

    def test_framing(self) -> None:
        """Chunks take precedence over a length; neither means the close."""
        cases = (
            ([(b"Content-Length", b"4")], "length"),
            ([(b"transfer-encoding", b"chunked")], "chunks"),
            ([(b"Content-Length", b"4"), (b"Transfer-Encoding", b"chunked")], "chunks"),
            ([(b"Connection", b"close")], "close"),
        )
        for headers, framing in cases:
            with self.subTest(headers=headers):
                self.assertEqual(find_framing(headers), framing)
