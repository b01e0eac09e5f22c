"""The planned stop of a registry over real sockets with slow readers."""

from __future__ import annotations

import tempfile
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet import reactor as default_reactor
from twisted.internet.defer import Deferred
from twisted.internet.defer import succeed
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory

from tests.adapters.callers import LARGE_RESPONSE_BYTES
from tests.adapters.callers import PausedCaller
from tests.standins.support import AsyncTestCase
from waxwingwell.adapters.connections import make_tcp_connector
from waxwingwell.adapters.links import ROUTING_TIMING
from waxwingwell.adapters.links import LinkFactory
from waxwingwell.adapters.links import LinkHandlers
from waxwingwell.adapters.links import LinkNode
from waxwingwell.adapters.links import LinkProtocol
from waxwingwell.adapters.registry.context import RegistryBody
from waxwingwell.adapters.registry.context import RegistryContext
from waxwingwell.adapters.registry.daemon import RegistryDaemon
from waxwingwell.adapters.registry.daemon import start_registry
from waxwingwell.adapters.registry.settings import RegistrySettings
from waxwingwell.adapters.registry.stopping import list_connections
from waxwingwell.adapters.registry.stopping import stop_registry
from waxwingwell.routing.messages import NotAccepted
from waxwingwell.routing.messages import ReadRouting
from waxwingwell.routing.messages import RoutingNow

from .support import requires_key


if TYPE_CHECKING:
    from waxwingwell.adapters.http.records import HttpRequest
    from waxwingwell.adapters.http.responder import Responder
    from waxwingwell.messages import Message


reactor: Any = default_reactor
ADDRESS = "127.0.0.1"


class SlowReaderTest(AsyncTestCase):
    """A registry in this process, whose end drops all bytes that it has not sent."""

    async def setUp(self) -> None:  # type: ignore[override]
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.read = Deferred[None]()
        settings = RegistrySettings(
            address=ADDRESS,
            data_centre="north",
            admin=(ADDRESS, 0),
            link_port=0,
            controls=(),
            data_folder=Path(self.folder.name),
            first_start=False,
        )
        self.daemon: RegistryDaemon = start_registry(
            settings, reactor, lambda context: self.respond, requires_key
        )
        self.context: RegistryContext = self.daemon.context

    def respond(self, request: HttpRequest, responder: Responder) -> None:
        """Send a large response."""
        responder.send(200, [], b"x" * LARGE_RESPONSE_BYTES)
        self.read.callback(None)

    def handle_call(self, sender: str, body: Any) -> Deferred[Message]:
        """Reply to a call; the test continues once the link has the reply."""
        reactor.callLater(0, self.read.callback, None)
        return succeed(
            RoutingNow(version=1, source=b"x" * LARGE_RESPONSE_BYTES, rollouts=())
        )

    def connect_gateway(self) -> Deferred[LinkProtocol]:
        """Connect as a gateway does."""
        node = LinkNode(
            name="gateway-9",
            reactor=reactor,
            handlers=LinkHandlers(
                handle_call=lambda sender, body: succeed(NotAccepted(reason="")),
                handle_cast=lambda sender, body: None,
                body_type=RegistryBody,
            ),
            timing=ROUTING_TIMING,
        )
        port = self.daemon.ports[0].getHost().port
        connect = make_tcp_connector(reactor, ADDRESS, port)
        return connect(LinkFactory(node))

    def stop(self) -> Deferred[None]:
        """Start the planned stop; the result fires when the process would end."""
        ended: Deferred[None] = Deferred()

        def end() -> None:
            for connection in list(self.daemon.service.connections):
                connection.abort()

            for protocol in list_connections(self.context):
                protocol.abort()

            ended.callback(None)

        stop_registry(self.daemon, end)
        return ended

    async def test_a_caller_that_reads_slowly(self) -> None:
        """An operator reads a large document while the registry is stopped.

        Most of it is still buffered in the process, and must arrive completely.
        """
        port = self.daemon.ports[1].getHost().port
        endpoint = TCP4ClientEndpoint(reactor, ADDRESS, port)
        caller: Any = await endpoint.connect(Factory.forProtocol(PausedCaller))
        await self.read
        ended = self.stop()
        caller.transport.resumeProducing()
        received = await caller.ended
        self.assertGreater(received, LARGE_RESPONSE_BYTES)
        await ended

    async def test_a_process_that_reads_a_link_slowly(self) -> None:
        """Another process reads the state slowly while the registry is stopped."""
        own_node: Any = self.context.node
        own_node.handlers = replace(own_node.handlers, handle_call=self.handle_call)
        protocol = await self.connect_gateway()
        transport: Any = protocol.transport
        transport.pauseProducing()
        reply = protocol.call(ReadRouting(), timeout=60.0)
        await self.read
        ended = self.stop()
        transport.resumeProducing()
        state = await reply
        self.assertEqual(len(state.source), LARGE_RESPONSE_BYTES)
        await ended
