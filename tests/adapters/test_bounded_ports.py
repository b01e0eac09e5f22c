"""Ports of a process that has no descriptor left for all who connect."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet import reactor as default_reactor
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from tests.standins.support import AsyncTestCase
from waxwingwell.adapters.bounded_ports import listen_bounded
from waxwingwell.adapters.http.budget import Budget
from waxwingwell.adapters.http.records import HttpLimits
from waxwingwell.adapters.http.records import HttpRequest
from waxwingwell.adapters.http.server import HttpFactory
from waxwingwell.adapters.http.server import HttpService


if TYPE_CHECKING:
    from waxwingwell.adapters.http.responder import Responder


reactor: Any = default_reactor
ADDRESS = ("127.0.0.1", 0)
MAX_CONNECTIONS = 4
SILENT = 20
WATCH_SECONDS = 20.0
"""Watch against a caller that is not answered; not a target time."""


class BoundedPortTest(AsyncTestCase):
    """One caller with a request in a crowd that sends nothing."""

    async def test_an_ordinary_caller_is_answered(self) -> None:
        """Guards against a caller that gives way before its request is read."""
        for place in (0, SILENT // 2, SILENT):
            with self.subTest(place=place):
                served: Deferred[bytes] = Deferred()
                served.addTimeout(WATCH_SECONDS, reactor)

                def handle(
                    request: HttpRequest,
                    responder: Responder,
                    served: Deferred[bytes] = served,
                ) -> None:
                    responder.send(200, [], b"ok")
                    served.callback(request.target)

                held = Budget(max_connections=MAX_CONNECTIONS)
                service = HttpService(
                    reactor=reactor, handle=handle, limits=HttpLimits, held=held
                )
                factory = HttpFactory(service)
                port = listen_bounded(reactor, ADDRESS, factory, held)
                host = port.getHost()
                callers = [
                    socket.create_connection((host.host, host.port))
                    for _ in range(SILENT + 1)
                ]
                callers[place].sendall(b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n")
                self.assertEqual(await served, b"/a")
                self.assertLessEqual(len(held.holdings), MAX_CONNECTIONS)
                for caller in callers:
                    caller.close()

                await port.stopListening()
                while held.holdings:
                    await deferLater(reactor, 0.01)
