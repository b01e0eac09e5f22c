"""Bytes that wait for a slow reader, and what is known of them."""

from __future__ import annotations

import unittest

from tests.adapters.gateway.support import make_transport
from waxwingwell.adapters.http.output import PIECE_BYTES
from waxwingwell.adapters.http.output import Output


class Protocol:
    """A protocol that notes the end of its connection."""

    lost = False

    def connectionLost(self, reason: object) -> None:  # noqa: N802
        """Note the end."""
        self.lost = True


class OutputTest(unittest.TestCase):
    """What has left, what has not, and when the connection closes."""

    def setUp(self) -> None:
        self.transport = make_transport()
        self.protocol = Protocol()
        self.transport.protocol = self.protocol
        self.progress = 0
        self.output = Output(self.transport, self.note_progress)

    def note_progress(self) -> None:
        """Count the signs of progress."""
        self.progress += 1

    def test_bytes_count_until_they_have_left(self) -> None:
        for size in (1, PIECE_BYTES, 3 * PIECE_BYTES + 1):
            with self.subTest(size=size):
                self.setUp()
                self.transport.held = True
                data = bytes(number % 251 for number in range(size))
                self.output.write(data)
                self.assertEqual(self.output.unsent, size)
                self.transport.release()
                self.assertEqual(self.output.unsent, 0)
                self.assertEqual(self.transport.value(), data)

    def test_pieces_leave_one_after_the_other(self) -> None:
        self.transport.held = True
        self.output.write(b"a" * PIECE_BYTES)
        self.output.write(b"b")
        self.transport.flush()
        self.assertEqual(self.output.unsent, 1)
        self.assertEqual(self.progress, 1)
        self.transport.flush()
        self.assertEqual(self.progress, 2)
        self.assertEqual(self.output.unsent, 0)
        self.assertTrue(self.transport.value().endswith(b"ab"))

    def test_a_connection_closes_after_its_last_byte(self) -> None:
        for held in (True, False):
            with self.subTest(held=held):
                self.setUp()
                self.transport.held = held
                self.output.write(b"a" * (PIECE_BYTES + 1))
                self.output.finish()
                self.assertIs(self.protocol.lost, not held)
                self.transport.release()
                self.assertTrue(self.protocol.lost)
                self.assertEqual(len(self.transport.value()), PIECE_BYTES + 1)
