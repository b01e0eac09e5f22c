"""Crowds of clients that don't behave, one kind at a time and together."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from pathlib import Path

from .crowds import MEBIBYTE
from .crowds import Crowd
from .crowds import Door
from .crowds import make_body_client
from .crowds import make_chunk_client
from .crowds import make_field_client
from .crowds import make_frame_client
from .crowds import make_pipelining_client
from .crowds import make_reading_client
from .crowds import make_silent_client
from .crowds import play_crowds


MEMORY_MB = 120
"""Memory that the settings state for each process."""
PEAK_SHARE = 0.8
"""Share of its memory that a process may use at its peak."""
DESCRIPTORS = 110
"""Limit on the open descriptors of each process, where a test lowers it."""
DESCRIPTOR_SHARE = 0.9
"""Share of its descriptors that a process may use at its peak."""
HEAD_BYTES = 13_000
BODY_BYTES = 4 * MEBIBYTE
ADMIN_BODY_BYTES = 8 * MEBIBYTE


class CrowdTest(unittest.TestCase):
    """A small system with one gateway and one registry."""

    def check_crowds(
        self,
        *crowds: Crowd,
        descriptors: int | None = None,
        read_rate: float | None = None,
    ) -> None:
        """Play crowds, and check the processes and that they go on serving."""
        with tempfile.TemporaryDirectory() as folder:
            measured = asyncio.run(
                play_crowds(
                    Path(folder),
                    crowds,
                    memory_mb=MEMORY_MB,
                    descriptors=descriptors,
                    read_rate=read_rate,
                )
            )

        self.assertEqual(measured.ended, [])
        for name, peak in measured.peaks.items():
            with self.subTest("memory", process=name):
                self.assertLessEqual(peak, PEAK_SHARE * MEMORY_MB * 1_000_000)

        for name, opened in measured.descriptors.items():
            with self.subTest("descriptors", process=name):
                limit = DESCRIPTOR_SHARE * (descriptors or 10_000)
                self.assertLessEqual(opened, limit)

        with self.subTest("during the crowd"):
            self.assertTrue(measured.answered_during)

        with self.subTest("afterwards"):
            self.assertTrue(measured.answered_after)

    def test_stalled_bodies_at_the_port_for_callers(self) -> None:
        """Guards against a gateway that runs out of memory for unfinished bodies."""
        client = make_body_client(Door.CALLERS, BODY_BYTES, missing=1)
        self.check_crowds(Crowd(door=Door.CALLERS, count=40, client=client))

    def test_stalled_bodies_at_the_port_for_relays(self) -> None:
        """Guards against the same at the port for other gateways."""
        client = make_body_client(Door.RELAYS, BODY_BYTES, missing=1)
        self.check_crowds(Crowd(door=Door.RELAYS, count=40, client=client))

    def test_stalled_bodies_at_the_readiness_port(self) -> None:
        """Guards against a gateway that collects bodies where it needs none."""
        client = make_body_client(Door.READINESS, BODY_BYTES, missing=1)
        self.check_crowds(Crowd(door=Door.READINESS, count=25, client=client))

    def test_stalled_bodies_at_the_metrics_port_of_a_gateway(self) -> None:
        """Guards against the same at the port for metrics."""
        client = make_body_client(Door.GATEWAY_METRICS, BODY_BYTES, missing=1)
        self.check_crowds(Crowd(door=Door.GATEWAY_METRICS, count=25, client=client))

    def test_stalled_bodies_at_the_metrics_port_of_a_registry(self) -> None:
        """Guards against a registry that collects bodies where it needs none."""
        client = make_body_client(Door.REGISTRY_METRICS, BODY_BYTES, missing=1)
        self.check_crowds(Crowd(door=Door.REGISTRY_METRICS, count=25, client=client))

    def test_stalled_bodies_at_the_port_for_operators(self) -> None:
        """Guards against a registry that runs out of memory for unfinished calls."""
        client = make_body_client(Door.OPERATORS, ADMIN_BODY_BYTES, missing=1)
        self.check_crowds(Crowd(door=Door.OPERATORS, count=20, client=client))

    def test_stalled_frames_at_the_port_for_links(self) -> None:
        """Guards against a registry that collects unfinished frames of strangers."""
        client = make_frame_client(ADMIN_BODY_BYTES)
        self.check_crowds(Crowd(door=Door.LINKS, count=20, client=client))

    def test_stalled_frames_after_a_greeting(self) -> None:
        """Guards against the same of strangers that greet as processes do."""
        client = make_frame_client(ADMIN_BODY_BYTES, greets=True)
        self.check_crowds(Crowd(door=Door.LINKS, count=20, client=client))

    def test_bodies_that_upstreams_read_slowly(self) -> None:
        """Guards against a gateway that holds each body more than once."""
        client = make_body_client(Door.CALLERS, BODY_BYTES, missing=0)
        crowd = Crowd(door=Door.CALLERS, count=16, client=client)
        self.check_crowds(crowd, read_rate=65_536.0)

    def test_long_responses_that_are_hardly_read(self) -> None:
        """Guards against a gateway that runs out of memory for unread responses."""
        client = make_reading_client()
        self.check_crowds(Crowd(door=Door.CALLERS, count=200, client=client))

    def test_requests_behind_a_running_one(self) -> None:
        """Guards against bytes in the parser that nobody counts."""
        client = make_pipelining_client()
        self.check_crowds(Crowd(door=Door.CALLERS, count=400, client=client))

    def test_heads_of_many_fields(self) -> None:
        """Guards against heads that take a multiple of their bytes."""
        client = make_field_client(Door.CALLERS, HEAD_BYTES)
        self.check_crowds(Crowd(door=Door.CALLERS, count=150, client=client))

    def test_chunks_of_two_bytes(self) -> None:
        """Guards against a gateway whose processor is taken up by few clients."""
        client = make_chunk_client(Door.CALLERS)
        self.check_crowds(Crowd(door=Door.CALLERS, count=20, client=client))

    def test_chunks_of_two_bytes_at_the_readiness_port(self) -> None:
        """Guards against the same at the port for readiness checks."""
        client = make_chunk_client(Door.READINESS)
        self.check_crowds(Crowd(door=Door.READINESS, count=20, client=client))

    def test_silent_connections_to_a_gateway(self) -> None:
        """Guards against a gateway without a descriptor for another caller."""
        crowd = Crowd(door=Door.CALLERS, count=600, client=make_silent_client())
        self.check_crowds(crowd, descriptors=DESCRIPTORS)

    def test_silent_connections_to_the_readiness_port(self) -> None:
        """Guards against the same by the port for readiness checks."""
        crowd = Crowd(door=Door.READINESS, count=600, client=make_silent_client())
        self.check_crowds(crowd, descriptors=DESCRIPTORS)

    def test_silent_connections_to_the_port_for_operators(self) -> None:
        """Guards against a registry without a descriptor for a heartbeat."""
        crowd = Crowd(door=Door.OPERATORS, count=600, client=make_silent_client())
        self.check_crowds(crowd, descriptors=DESCRIPTORS)

    def test_silent_connections_to_the_port_for_links(self) -> None:
        """Guards against a registry without a descriptor for a gateway's link."""
        crowd = Crowd(door=Door.LINKS, count=600, client=make_silent_client())
        self.check_crowds(crowd, descriptors=DESCRIPTORS)

    def test_all_kinds_at_once(self) -> None:
        """Guards against bounds that each hold, but not together."""
        self.check_crowds(
            Crowd(
                door=Door.CALLERS,
                count=20,
                client=make_body_client(Door.CALLERS, BODY_BYTES, missing=1),
            ),
            Crowd(
                door=Door.CALLERS,
                count=16,
                client=make_body_client(Door.CALLERS, BODY_BYTES, missing=0),
            ),
            Crowd(door=Door.CALLERS, count=60, client=make_reading_client()),
            Crowd(door=Door.CALLERS, count=100, client=make_pipelining_client()),
            Crowd(
                door=Door.CALLERS,
                count=50,
                client=make_field_client(Door.CALLERS, HEAD_BYTES),
            ),
            Crowd(door=Door.CALLERS, count=10, client=make_chunk_client(Door.CALLERS)),
            Crowd(
                door=Door.READINESS,
                count=10,
                client=make_body_client(Door.READINESS, BODY_BYTES, missing=1),
            ),
            Crowd(
                door=Door.OPERATORS,
                count=10,
                client=make_body_client(Door.OPERATORS, ADMIN_BODY_BYTES, missing=1),
            ),
            Crowd(
                door=Door.LINKS, count=10, client=make_frame_client(ADMIN_BODY_BYTES)
            ),
            read_rate=65_536.0,
        )


if __name__ == "__main__":
    unittest.main()
