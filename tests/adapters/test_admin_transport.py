"""Requests to the administration API over real connections."""

from __future__ import annotations

import socket
import threading
import unittest
from http.server import BaseHTTPRequestHandler
from http.server import HTTPServer
from typing import Any

from waxwingwell.adapters.admin_transport import AdminRequest
from waxwingwell.adapters.admin_transport import AdminResponse
from waxwingwell.adapters.admin_transport import Unreachable
from waxwingwell.adapters.admin_transport import make_transport


class Handler(BaseHTTPRequestHandler):
    """Responds according to the path, and records the keys of requests."""

    keys: list[str | None] = []

    def do_GET(self) -> None:
        self.keys.append(self.headers["Authorization"])
        if self.path == "/moved":
            self.send_response(302)
            self.send_header("Location", "/good")
        elif self.path == "/busy":
            self.send_response(503)
            self.send_header("Retry-After", "2")
        else:
            self.send_response(200)

        self.send_header("Content-Length", "2")
        self.end_headers()
        self.wfile.write(b"{}")

    def log_message(self, *_: Any) -> None:
        """Suppress the server's log lines."""


class TransportTest(unittest.TestCase):
    """Sends requests to a server that runs in its own thread."""

    def setUp(self) -> None:
        Handler.keys.clear()
        self.server = HTTPServer(("127.0.0.1", 0), Handler)
        thread = threading.Thread(target=self.server.serve_forever, args=(0.01,))
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(self.server.server_close)
        self.addCleanup(self.server.shutdown)
        self.url = f"http://127.0.0.1:{self.server.server_port}"

    def test_replies(self) -> None:
        cases = (
            ("/good", AdminResponse(200, b"{}")),
            ("/busy", AdminResponse(503, b"{}", 2.0)),
            ("/moved", AdminResponse(302, b"{}")),
        )
        send = make_transport()
        for path, expected in cases:
            with self.subTest(path):
                reply = send(AdminRequest("GET", self.url + path, "secret"))
                self.assertEqual(reply, expected)

        self.assertEqual(Handler.keys, ["Bearer secret"] * 3)

    def test_responses_that_are_broken_off(self) -> None:
        """Guards against a head that was cut off and taken for an empty success."""
        send = make_transport()
        for whole in (
            b"HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Id: 1\r\n\r\n{"
            + b" " * 10
            + b"}",
            b"HTTP/1.1 503 Busy\r\nRetry-After: 2\r\nContent-Length: 2\r\n\r\n{}",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n"
            b"0\r\n\r\n",
        ):
            for length in range(len(whole)):
                with self.subTest(whole=whole, length=length):
                    url = self.serve_once(whole[:length])
                    reply = send(AdminRequest("GET", url, "secret", timeout=5.0))
                    is_whole = isinstance(reply, AdminResponse) and whole.endswith(
                        b"0\r\n\r\n"
                    )
                    if is_whole:
                        # Only the end of the last chunk's line is missing.
                        self.assertGreater(length, whole.index(b"0\r\n\r\n"))
                        continue

                    self.assertIsInstance(reply, Unreachable)

    def test_statuses_that_are_none(self) -> None:
        """Guards against a number outside the protocol that is taken for an answer."""
        send = make_transport()
        for status in ("000", "099", "600", "999", "1000", "2x0"):
            with self.subTest(status):
                head = f"HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\n"
                url = self.serve_once(head.encode() + b"{}")
                reply = send(AdminRequest("GET", url, "secret", timeout=5.0))
                self.assertIsInstance(reply, Unreachable)

    def serve_once(self, data: bytes) -> str:
        """Return the URL of a server that sends this to one request, and closes."""
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)

        def serve() -> None:
            connection, _ = listener.accept()
            with connection:
                connection.recv(65_536)
                connection.sendall(data)

        thread = threading.Thread(target=serve)
        thread.start()
        self.addCleanup(thread.join)
        return f"http://127.0.0.1:{listener.getsockname()[1]}/"

    def test_nothing_listens(self) -> None:
        free = HTTPServer(("127.0.0.1", 0), Handler)
        port = free.server_port
        free.server_close()
        reply = make_transport()(AdminRequest("GET", f"http://127.0.0.1:{port}/", "k"))
        self.assertIsInstance(reply, Unreachable)
