"""The baseline: a bare klein and treq hop, with no work of ours in it.

``python -m bench.bare_hop PORT UPSTREAM_PORT [PATH]`` serves until it is told to stop;
the path is the upstream's, in place of the chats'.
"""

from __future__ import annotations

import sys
from typing import Any

import treq
from klein import Klein
from twisted.internet import reactor as installed
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.web.client import Agent
from twisted.web.client import HTTPConnectionPool
from twisted.web.server import Site


reactor: Any = installed
CHATS = "/v1/chat/completions"


class PassingProtocol(Protocol):
    """Writes what it receives to a caller's request."""

    def __init__(self, request: Any) -> None:
        self.request = request
        self.ended: Deferred[None] = Deferred()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass data on."""
        self.request.write(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Tell that the body has ended."""
        self.ended.callback(None)


def make_app(upstream_port: int, path: str = CHATS) -> Klein:
    """Return an application that passes every chat on."""
    app = Klein()
    pool = HTTPConnectionPool(reactor)
    pool.maxPersistentPerHost = 256
    agent = Agent(reactor, pool=pool)
    url = f"http://127.0.0.1:{upstream_port}{path}"

    @app.route(CHATS, methods=["POST"])
    async def pass_on(request: Any) -> None:
        response: Any = await treq.post(
            url, data=request.content.read(), agent=agent, unbuffered=True
        )
        request.setResponseCode(response.code)
        passing = PassingProtocol(request)
        response.deliverBody(passing)
        await passing.ended

    return app


def main() -> None:
    """Serve until told to stop."""
    port, upstream_port = (int(value) for value in sys.argv[1:3])
    site: Any = Site(make_app(upstream_port, *sys.argv[3:4]).resource())
    site.log = lambda request: None
    reactor.listenTCP(port, site, interface="127.0.0.1")
    reactor.run()


if __name__ == "__main__":
    main()
