"""Tests of invalid settings of the platform."""

from __future__ import annotations

import unittest

from waxwingwell.routing.exposure import ExposureLimits
from waxwingwell_platform.settings import read_byte_limits
from waxwingwell_platform.settings import read_exposure
from waxwingwell_platform.settings import read_registry
from waxwingwell_platform.settings import read_request_queue
from waxwingwell_platform.settings import read_retries


REGISTRY = {
    "ip": "127.0.0.1",
    "zone": "north",
    "listen": {"admin": "127.0.0.1:80"},
    "internal_ports": [9000, 9001],
    "seeds": [],
    "data_dir": "data",
}
"""Required fields of a registry's settings, without the bounds."""


class RetriesTest(unittest.TestCase):
    """The retry budget."""

    def test_invalid_bounds(self) -> None:
        """Bounds that allow no retry, or any number, must not pass unnoticed."""
        for field, value, message in (
            ("retry_budget_ratio", -0.1, "bounds: retries.ratio is -0.1"),
            ("budget_slack", -1, "bounds: retries.slack is -1"),
            ("retry_window_s", 0, "bounds: retries.window is 0"),
        ):
            with self.subTest(field), self.assertRaisesRegex(ValueError, message):
                read_retries({field: value})

    def test_bounds(self) -> None:
        fields = {"retry_budget_ratio": 0, "budget_slack": 0, "retry_window_s": 5}
        limits = read_retries(fields)
        self.assertEqual((limits.ratio, limits.slack, limits.window), (0, 0, 5))


class ExposureTest(unittest.TestCase):
    """The limits on the exposure of callers to a version on trial."""

    def test_invalid_bounds(self) -> None:
        """Limits that no roll-out can keep, or that limit nothing, must not pass."""
        for field, value, message in (
            ("exposure_share", -0.1, "bounds: exposure.share is -0.1"),
            ("exposure_share", 1.5, "bounds: exposure.share is 1.5"),
            ("exposure_slack", -1, "bounds: exposure.slack is -1"),
            ("rollback_ms", 0, "bounds: exposure.rollback is 0"),
        ):
            for read in (
                read_exposure,
                lambda bounds: read_registry({**REGISTRY, "bounds": bounds}),
            ):
                with (
                    self.subTest(field, value=value),
                    self.assertRaisesRegex(ValueError, message),
                ):
                    read({field: value})

    def test_bounds(self) -> None:
        given = {"exposure_share": 0.1, "exposure_slack": 8, "rollback_ms": 2_500}
        for name, bounds, expected in (
            ("given", given, ExposureLimits(0.1, 8, 2.5)),
            ("defaults", {}, ExposureLimits()),
        ):
            with self.subTest(name):
                settings = read_registry({**REGISTRY, "bounds": bounds})
                self.assertEqual(settings.exposure, expected)


class ByteLimitsTest(unittest.TestCase):
    """The limits on the bytes of responses."""

    def test_invalid_limits(self) -> None:
        """Guards against limits that refuse all responses, or none."""
        for value in (0, -1, 1.5, "1", True):
            with (
                self.subTest(value=value),
                self.assertRaisesRegex(ValueError, "limits: event_bytes must be"),
            ):
                read_byte_limits({"limits": {"event_bytes": value}})

    def test_limits(self) -> None:
        """Guards against limits of the file that are not those of the gateway."""
        fields = {"event_bytes": 1, "collected_bytes": 2, "unstated_body_bytes": 3}
        limits = {**fields, "memory_mb": 160}
        for given, expected in ((limits, fields), ({}, {})):
            with self.subTest(given=given):
                self.assertEqual(read_byte_limits({"limits": given}), expected)

    def test_request_queue(self) -> None:
        """Guards against a queue that a deployment has not asked for."""
        for given, expected in (({}, False), ({"request_queue": True}, True)):
            with self.subTest(given=given):
                self.assertIs(read_request_queue({"limits": given}), expected)

        with self.assertRaisesRegex(ValueError, "limits: request_queue must be"):
            read_request_queue({"limits": {"request_queue": 1}})


if __name__ == "__main__":
    unittest.main()
