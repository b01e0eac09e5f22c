"""Tests of ``waxwingwell quarantine`` against a fake registry."""

from __future__ import annotations

import os
import unittest
from unittest import mock

import msgspec

from waxwingwell.adapters.admin_transport import AdminRequest
from waxwingwell.adapters.admin_transport import AdminResponse
from waxwingwell.adapters.admin_views import QuarantinedBlock
from waxwingwell.adapters.admin_views import QuarantineView
from waxwingwell.commands import connection

from .fake_admin import run_command


class QuarantineTest(unittest.TestCase):
    """Commands, their output and the calls that they make."""

    def test_commands(self) -> None:
        for arguments, text, method in (
            (("show",), "00ba", "GET"),
            (("show", "--json"), '"crashes": 4', "GET"),
            (("release",), "released", "DELETE"),
        ):
            with self.subTest(arguments):
                calls: list[tuple[str, str]] = []

                def send(
                    request: AdminRequest, calls: list[tuple[str, str]] = calls
                ) -> AdminResponse:
                    calls.append((request.method, request.url))
                    view = QuarantineView((QuarantinedBlock("00ba", 4),))
                    return AdminResponse(200, msgspec.json.encode(view))

                environment = {connection.REGISTRY_VARIABLE: "http://one:1"}
                with (
                    mock.patch.dict(os.environ, environment),
                    mock.patch.object(connection, "make_transport", lambda _: send),
                ):
                    code, output, errors = run_command("quarantine", *arguments)

                self.assertEqual((code, errors), (0, ""))
                self.assertIn(text, output)
                self.assertEqual(calls, [(method, "http://one:1/admin/v1/quarantine")])
