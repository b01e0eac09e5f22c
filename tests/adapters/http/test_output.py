"""Tests of the send buffer, which tracks bytes that wait for a slow reader."""

from __future__ import annotations

import unittest

from tests.adapters.gateway.support import make_transport
from waxwingwell.adapters.http.output import SendBuffer
from waxwingwell.adapters.http.pieces import CHUNK_BYTES


class Protocol:
    """A protocol that records the loss of its connection."""

    lost = False

    def connectionLost(self, reason: object) -> None:  # noqa: N802
        """Record the loss."""
        self.lost = True


class SendBufferTest(unittest.TestCase):
    """The count of unsent bytes, and the close of the connection."""

    def setUp(self) -> None:
        self.transport = make_transport()
        self.protocol = Protocol()
        self.transport.protocol = self.protocol
        self.progress = 0
        self.buffer = SendBuffer(self.transport, self.record_progress)

    def record_progress(self) -> None:
        """Count the calls that report progress."""
        self.progress += 1

    def test_bytes_count_until_they_are_sent(self) -> None:
        for size in (1, CHUNK_BYTES, 3 * CHUNK_BYTES + 1):
            with self.subTest(size=size):
                self.setUp()
                self.transport.held = True
                data = bytes(number % 251 for number in range(size))
                self.buffer.write(data)
                self.assertEqual(self.buffer.unsent, size)
                self.transport.release()
                self.assertEqual(self.buffer.unsent, 0)
                self.assertEqual(self.transport.value(), data)

    def test_chunks_are_sent_one_after_the_other(self) -> None:
        self.transport.held = True
        self.buffer.write(b"a" * CHUNK_BYTES)
        self.buffer.write(b"b")
        self.transport.flush()
        self.assertEqual(self.buffer.unsent, 1)
        self.assertEqual(self.progress, 1)
        self.transport.flush()
        self.assertEqual(self.progress, 2)
        self.assertEqual(self.buffer.unsent, 0)
        self.assertTrue(self.transport.value().endswith(b"ab"))

    def test_a_response_written_on_progress_is_sent_before_the_close(self) -> None:
        """Guards against bytes counted as unsent for good, which delay a stop.

        A request that waited for its caller is answered as soon as it has read, and
        the answer may be the last one of the connection.
        """

        def respond() -> None:
            if self.progress == 0:
                self.buffer.write(b"b")
                self.buffer.finish()

            self.progress += 1

        self.transport.unregisterProducer()
        self.buffer = SendBuffer(self.transport, respond)
        self.transport.held = True
        self.buffer.write(b"a")
        self.transport.flush()
        self.assertFalse(self.transport.half_closed)
        self.transport.flush()
        self.assertTrue(self.transport.half_closed)
        self.assertEqual(self.buffer.unsent, 0)
        self.assertEqual(self.transport.value(), b"ab")

    def test_a_connection_closes_after_its_last_byte(self) -> None:
        for held in (True, False):
            with self.subTest(held=held):
                self.setUp()
                self.transport.held = held
                self.buffer.write(b"a" * (CHUNK_BYTES + 1))
                self.buffer.finish()
                self.assertIs(self.protocol.lost, not held)
                self.transport.release()
                self.assertTrue(self.protocol.lost)
                self.assertEqual(len(self.transport.value()), CHUNK_BYTES + 1)
