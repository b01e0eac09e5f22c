"""The baseline "bare hop": a proxy of klein and treq alone, without product code.

``python -m bench.bare_hop PORT UPSTREAM_PORT [PATH]`` serves until it is terminated.
PATH is the upstream's path, by default the chats' path.
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


class ForwardingProtocol(Protocol):
    """Forwards a response body to a caller's request."""

    def __init__(self, request: Any) -> None:
        self.request = request
        self.finished: Deferred[None] = Deferred()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Forward data."""
        self.request.write(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Signal the end of the body."""
        self.finished.callback(None)


def make_app(upstream_port: int, path: str = CHATS) -> Klein:
    """Return an application that forwards every chat to the upstream."""
    app = Klein()
    pool = HTTPConnectionPool(reactor)
    pool.maxPersistentPerHost = 256
    agent = Agent(reactor, pool=pool)
    url = f"http://127.0.0.1:{upstream_port}{path}"

    @app.route(CHATS, methods=["POST"])
    async def forward(request: Any) -> None:
        response: Any = await treq.post(
            url, data=request.content.read(), agent=agent, unbuffered=True
        )
        request.setResponseCode(response.code)
        forwarding = ForwardingProtocol(request)
        response.deliverBody(forwarding)
        await forwarding.finished

    return app


def main() -> None:
    """Serve until terminated."""
    port, upstream_port = (int(value) for value in sys.argv[1:3])
    site: Any = Site(make_app(upstream_port, *sys.argv[3:4]).resource())
    site.log = lambda request: None
    reactor.listenTCP(port, site, interface="127.0.0.1")
    reactor.run()


if __name__ == "__main__":
    main()
