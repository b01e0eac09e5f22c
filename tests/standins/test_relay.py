"""Tests of the balancer and the relay between a client and plain HTTP targets."""

from __future__ import annotations

import treq
from klein import Klein
from twisted.internet.defer import Deferred

from waxwingwell_standins.balancer import start_balancer
from waxwingwell_standins.listener import Listener
from waxwingwell_standins.listener import Request
from waxwingwell_standins.listener import close_listener
from waxwingwell_standins.listener import listen
from waxwingwell_standins.relay import start_relay
from waxwingwell_standins.settings import BalancerSettings
from waxwingwell_standins.settings import RelaySettings

from .support import AsyncTestCase
from .support import read_until_closed
from .support import send


class RelayTest(AsyncTestCase):
    """Each target responds with its name, and may fail its health checks."""

    def start(self, name: str, *, ready: bool = True) -> Listener:
        app = Klein()

        @app.route("/readyz")
        def check(request: Request) -> bytes:
            request.setResponseCode(200 if ready else 503)
            return b""

        @app.route("/name")
        def show(request: Request) -> bytes:
            return name.encode()

        @app.route("/begin")
        def start_response(request: Request) -> Deferred[None]:
            request.write(b"begun")
            return Deferred()

        target = listen(app)
        self.addCleanup(close_listener, target)
        return target

    async def test_balancer_uses_ready_targets(self) -> None:
        targets = [self.start("a"), self.start("b", ready=False), self.start("c")]
        addresses = tuple(f"127.0.0.1:{target.port}" for target in targets)
        balancer = start_balancer(BalancerSettings(targets=addresses, interval=60.0))
        self.addCleanup(balancer.stop)
        await balancer.first_check
        names = []
        for _ in range(4):
            response = await send("GET", balancer.url + "/name")
            names.append(await treq.content(response))

        self.assertEqual(names, [b"a", b"c", b"a", b"c"])

    async def test_relay_forwards_and_drops(self) -> None:
        target = self.start("a")
        relay = start_relay(RelaySettings(target=f"127.0.0.1:{target.port}"))
        self.addCleanup(relay.stop)
        open_response = await send("GET", relay.url + "/begin")
        relay.cut()
        self.assertEqual(await read_until_closed(open_response), b"begun")
        response = await send("GET", relay.url + "/name")
        self.assertEqual(await treq.content(response), b"a")

    async def test_blackholed_connection_while_new_ones_work(self) -> None:
        """A blackholed connection drops all data and stays open; a new one works."""
        target = self.start("a")
        relay = start_relay(RelaySettings(target=f"127.0.0.1:{target.port}"))
        self.addCleanup(relay.stop)
        open_response = await send("GET", relay.url + "/begin")
        parts: list[bytes] = []
        finished = treq.collect(open_response, parts.append)
        finished.addErrback(lambda _: None)
        relay.silence()
        await close_listener(target)
        self.assertFalse(finished.called)
        other = self.start("b")
        relay.settings = RelaySettings(target=f"127.0.0.1:{other.port}")
        response = await send("GET", relay.url + "/name")
        self.assertEqual(await treq.content(response), b"b")
        self.assertFalse(finished.called)
