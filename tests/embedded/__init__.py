"""End-to-end tests of the embedded system, which runs in the test process."""

from __future__ import annotations
