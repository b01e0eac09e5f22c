"""TLS of listeners and links, over loopback."""

from __future__ import annotations

import contextlib
import os
import tempfile
from pathlib import Path
from typing import Any

import treq
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from loguru import logger
from OpenSSL import SSL
from twisted.internet import reactor as default_reactor
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.endpoints import wrapClientTLS
from twisted.internet.interfaces import IOpenSSLClientConnectionCreator
from twisted.web.client import Agent
from twisted.web.iweb import IPolicyForHTTPS
from twisted.web.server import Site
from twisted.web.static import Data
from zope.interface import implementer

from tests.adapters.certificates import Authority
from tests.adapters.certificates import issue
from tests.adapters.certificates import make_authority
from tests.adapters.certificates import write_key
from tests.standins.support import AsyncTestCase
from waxwingwell.adapters.control.daemon import start_control
from waxwingwell.adapters.control.daemon import stop_control
from waxwingwell.adapters.entry.daemon import start_entry
from waxwingwell.adapters.entry.daemon import stop_entry
from waxwingwell.adapters.entry.periodic import renew_once
from waxwingwell.adapters.entry.periodic import stop_periodic_tasks
from waxwingwell.adapters.exceptions import SettingsError
from waxwingwell.adapters.link_messages import Body
from waxwingwell.adapters.links import Link
from waxwingwell.adapters.links import LinkFactory
from waxwingwell.adapters.links import LinkHandlers
from waxwingwell.adapters.links import LinkNode
from waxwingwell.adapters.links import LinkTiming
from waxwingwell.adapters.links import call_link
from waxwingwell.adapters.links import close_link
from waxwingwell.adapters.links import open_link
from waxwingwell.adapters.settings import ControlSettings
from waxwingwell.adapters.settings import EntrySettings
from waxwingwell.adapters.settings import LinkListener
from waxwingwell.adapters.settings import Listener
from waxwingwell.adapters.settings import Peer
from waxwingwell.adapters.settings import Tls
from waxwingwell.adapters.tls import ConnectionMaker
from waxwingwell.adapters.tls import listen
from waxwingwell.adapters.tls import make_connector
from waxwingwell.adapters.tls import make_context
from waxwingwell.adapters.tls import read_peer_names
from waxwingwell.adapters.tls_files import TlsSource
from waxwingwell.adapters.tls_files import open_tls
from waxwingwell.messages import AskInForce
from waxwingwell.messages import Cast
from waxwingwell.messages import Drain
from waxwingwell.messages import Hello
from waxwingwell.messages import InForce
from waxwingwell.state.leases import may_admit


REACTOR: Any = default_reactor
TIMEOUT = 5.0
ALL_CIPHERS = b"ALL:@SECLEVEL=0"


@implementer(IOpenSSLClientConnectionCreator)
class ClientWithoutCertificate:
    """A client without a certificate."""

    def __init__(self, authority: Authority) -> None:
        self.authority = authority

    def clientConnectionForTLS(self, tlsProtocol: Any) -> SSL.Connection:  # noqa: N802, N803
        context = SSL.Context(SSL.TLS_METHOD)
        context.load_verify_locations(str(self.authority.path))
        context.set_verify(SSL.VERIFY_PEER)
        return SSL.Connection(context, None)


@implementer(IPolicyForHTTPS)
class FixedClientPolicy:
    """Uses the same client for every server."""

    def __init__(self, creator: Any) -> None:
        self.creator = creator

    def creatorForNetloc(self, hostname: bytes, port: int) -> Any:  # noqa: N802
        return self.creator


def without_authority(tls: Tls) -> Tls:
    """Return the same files for a listener that accepts any client."""
    return Tls(certificate=tls.certificate, private_key=tls.private_key)


def complete_handshake(server: SSL.Context, client: SSL.Context) -> bool:
    """Return whether the handshake of two in-memory connections succeeds."""
    ends = (SSL.Connection(client, None), SSL.Connection(server, None))
    ends[0].set_connect_state()
    ends[1].set_accept_state()
    done = [False, False]
    for turn in range(10):
        near, far = turn % 2, 1 - turn % 2
        try:
            ends[near].do_handshake()
            done[near] = True
        except SSL.WantReadError:
            pass
        except SSL.Error:
            return False

        with contextlib.suppress(SSL.WantReadError):
            ends[far].bio_write(ends[near].bio_read(65536))

    return all(done)


def make_site() -> Any:
    """Return a site that serves a fixed text."""
    page = Data(b"served", "text/plain")
    page.isLeaf = True
    return Site(page)


class TlsTestCase(AsyncTestCase):
    """Provides a folder with two authorities, and listeners closed after the test."""

    timeout = 20

    def setUp(self) -> None:
        temporary_folder = tempfile.TemporaryDirectory()
        self.addCleanup(temporary_folder.cleanup)
        self.folder = Path(temporary_folder.name)
        self.trusted_authority = make_authority(self.folder, "ours")
        self.other_authority = make_authority(self.folder, "theirs")
        self.lines: list[str] = []
        sink = logger.add(lambda line: self.lines.append(str(line)), level="WARNING")
        self.addCleanup(logger.remove, sink)

    def listen(self, listener: Listener, factory: Any, source: Any) -> int:
        port = listen(REACTOR, listener, factory, source)
        self.addCleanup(port.stopListening)
        return int(port.getHost().port)

    def open_source(self, name: str, tls: Tls, node: str = "") -> TlsSource:
        listener = (
            LinkListener(tls=tls)  # type: ignore[arg-type]
            if name == "links"
            else Listener(tls=tls)
        )
        source = open_tls(node, {name: listener})[name]
        assert source is not None
        return source


class ListenerTest(TlsTestCase):
    """Listeners for callers, upstreams and operators."""

    def serve(self, tls: Tls | None) -> int:
        site = make_site()
        listener = Listener(tls=tls)
        return self.listen(
            listener, site, open_tls("", {"callers": listener})["callers"]
        )

    async def get(self, scheme: str, port: int, creator: Any) -> bytes:
        agent = Agent(REACTOR, FixedClientPolicy(creator), connectTimeout=TIMEOUT)
        response = await treq.get(f"{scheme}://127.0.0.1:{port}/", agent=agent)
        return bytes(await treq.content(response))

    async def is_served(self, port: int, creator: Any) -> bool:
        try:
            return await self.get("https", port, creator) == b"served"
        except Exception as error:
            self.assertIn("SSL", repr(error))
            return False

    async def test_plain_text_without_tls(self) -> None:
        port = self.serve(None)
        self.assertEqual(await self.get("http", port, None), b"served")

    async def test_client_certificates(self) -> None:
        server = issue(self.trusted_authority, "server")
        plain = without_authority(server)
        good = self.open_source("client", issue(self.trusted_authority, "good"))
        bad_tls = issue(self.other_authority, "bad").model_copy(
            update={"authority": self.trusted_authority.path}
        )
        bad = self.open_source("client", bad_tls)
        cases: tuple[tuple[str, Tls, Any, bool], ...] = (
            (
                "any caller",
                plain,
                ClientWithoutCertificate(self.trusted_authority),
                True,
            ),
            (
                "client trusts another authority",
                plain,
                ClientWithoutCertificate(self.other_authority),
                False,
            ),
            (
                "no certificate",
                server,
                ClientWithoutCertificate(self.trusted_authority),
                False,
            ),
            ("signed by the trusted authority", server, ConnectionMaker(good), True),
            ("signed by another authority", server, ConnectionMaker(bad), False),
        )
        for name, tls, creator, served in cases:
            with self.subTest(name):
                port = self.serve(tls)
                self.assertEqual(await self.is_served(port, creator), served)

    def test_old_protocols_are_refused(self) -> None:
        # Both ends allow ciphers of every strength, so that only the protocol version
        # matters; the control case shows that TLS 1.1 would then be accepted.
        tls = without_authority(issue(self.trusted_authority, "server"))
        for oldest, accepted in ((0, False), (SSL.TLS1_VERSION, True)):
            with self.subTest(oldest):
                context = make_context(self.open_source("callers", tls))
                context.set_cipher_list(ALL_CIPHERS)
                if oldest:
                    context.set_min_proto_version(oldest)

                client = SSL.Context(SSL.TLS_METHOD)
                client.set_cipher_list(ALL_CIPHERS)
                client.set_max_proto_version(SSL.TLS1_1_VERSION)
                self.assertEqual(complete_handshake(context, client), accepted)

    async def test_renewal(self) -> None:
        # A certificate is renewed at the same path while the process runs. With an
        # invalid key, serving must continue with the former files, and the fault must
        # be logged once. A valid renewal takes effect at once.
        tls = without_authority(issue(self.trusted_authority, "server"))
        port = self.serve(tls)
        trusting_client, other_client = (
            ClientWithoutCertificate(self.trusted_authority),
            ClientWithoutCertificate(self.other_authority),
        )
        self.assertTrue(await self.is_served(port, trusting_client))
        for content in (b"", b"broken"):
            tls.private_key.write_bytes(content)
            self.lines.clear()
            for _ in range(2):
                self.assertTrue(await self.is_served(port, trusting_client))

            self.assertEqual(len(self.lines), 1, self.lines)
            self.assertIn("callers.tls.private_key", self.lines[0])
            self.assertIn(str(tls.private_key), self.lines[0])

        tls.certificate.unlink()
        self.assertTrue(await self.is_served(port, trusting_client))
        issue(self.other_authority, "server")
        self.assertTrue(await self.is_served(port, other_client))
        self.assertFalse(await self.is_served(port, trusting_client))

    async def test_renewal_of_equal_size(self) -> None:
        tls = without_authority(issue(self.trusted_authority, "server"))
        source = self.open_source("callers", tls)
        before = source.stamp
        os.utime(tls.certificate, ns=(1, 1))
        port = self.listen(
            Listener(),
            make_site(),
            source,
        )
        self.assertTrue(
            await self.is_served(port, ClientWithoutCertificate(self.trusted_authority))
        )
        self.assertNotEqual(source.stamp, before)


class FilesTest(TlsTestCase):
    """Unusable files make the start fail; the error names each place and path."""

    def test_findings(self) -> None:
        good = issue(self.trusted_authority, "entry-1")
        other = issue(self.trusted_authority, "entry-2")
        locked, empty = self.folder / "locked.key", self.folder / "empty"
        key = ec.generate_private_key(ec.SECP256R1())
        write_key(locked, key, serialization.BestAvailableEncryption(b"secret"))
        empty.write_bytes(b"")
        gone = self.folder / "gone"
        cases: tuple[tuple[str, Tls, tuple[str, ...]], ...] = (
            (
                "gone",
                good.model_copy(update={"certificate": gone}),
                (".certificate", "gone: No such"),
            ),
            (
                "folder",
                good.model_copy(update={"private_key": self.folder}),
                (".private_key", "Is a directory"),
            ),
            (
                "locked",
                good.model_copy(update={"private_key": locked}),
                (".private_key", "locked.key"),
            ),
            (
                "empty",
                good.model_copy(update={"authority": empty}),
                (".authority", "empty"),
            ),
            (
                "mixed",
                good.model_copy(update={"private_key": other.private_key}),
                (".private_key", "not the key"),
            ),
            ("name", other, (".certificate", "'entry-1'")),
        )
        for name, tls, parts in cases:
            with self.subTest(name), self.assertRaises(SettingsError) as caught:
                self.open_source("links", tls, "entry-1")

            for part in (f"links.tls{parts[0]}: {self.folder}", *parts[1:]):
                self.assertIn(part, str(caught.exception))

    def test_every_finding_at_once(self) -> None:
        gone = Tls(certificate=self.folder / "a", private_key=self.folder / "b")
        listener = Listener(tls=gone)
        with self.assertRaises(SettingsError) as caught:
            open_tls("", {"callers": listener, "upstreams": listener})

        for place in ("callers.tls.certificate", "upstreams.tls.certificate"):
            self.assertIn(place, str(caught.exception))


class LinkTest(TlsTestCase):
    """Links between two processes, both authenticated by certificates."""

    def setUp(self) -> None:
        super().setUp()
        self.casts: list[Any] = []

    def make_node(self, name: str) -> LinkNode:
        def handle_call(sender: str, body: Any) -> Deferred[Any]:
            reply: Deferred[Any] = Deferred()
            reply.callback(InForce(in_force=sender == "near"))
            return reply

        node = LinkNode(
            name=name,
            reactor=REACTOR,
            handlers=LinkHandlers(
                handle_call=handle_call,
                handle_cast=lambda sender, body: self.casts.append(sender),
                body_type=Body,
            ),
            timing=LinkTiming(),
            read_names=read_peer_names,
        )
        self.addCleanup(self.abort_connections, node)
        return node

    async def abort_connections(self, node: LinkNode) -> None:
        for protocol in list(node.accepted):
            protocol.abort()
            await protocol.closed

    def serve(self, tls: Tls) -> Peer:
        far = self.make_node("far")
        port = self.listen(Listener(), LinkFactory(far), self.open_source("far", tls))
        return Peer(node="far", port=port)

    async def test_link_connects_and_replies(self) -> None:
        # One end is identified by its common name, the other by its alternative name.
        peer = self.serve(
            issue(self.trusted_authority, "x", name="x", alternative="far")
        )
        source = self.open_source(
            "links", issue(self.trusted_authority, "near"), "near"
        )
        up: Deferred[None] = Deferred()
        link: Link = open_link(
            self.make_node("near"), "far", make_connector(REACTOR, peer, source)
        )
        link.on_up = lambda: up.callback(None)
        await up
        reply = await call_link(link, AskInForce(config_version=1), timeout=TIMEOUT)
        self.assertEqual(reply, InForce(in_force=True))
        protocol = link.protocol
        assert protocol is not None
        close_link(link)
        await protocol.closed

    async def test_refused(self) -> None:
        far = issue(self.trusted_authority, "far")
        near = issue(self.trusted_authority, "near")
        signed_by_other = issue(
            self.other_authority, "stranger", name="near"
        ).model_copy(update={"authority": self.trusted_authority.path})
        cases: tuple[tuple[str, Tls, Tls], ...] = (
            (
                "our certificate has another name",
                far,
                issue(self.trusted_authority, "other"),
            ),
            (
                "the peer's has another name",
                issue(self.trusted_authority, "far-2"),
                near,
            ),
            ("ours is signed by another authority", far, signed_by_other),
            (
                "the peer's is signed by another authority",
                issue(self.other_authority, "f", name="far"),
                near,
            ),
        )
        for name, far_tls, near_tls in cases:
            with self.subTest(name):
                connect = make_connector(
                    REACTOR, self.serve(far_tls), self.open_source("near", near_tls)
                )
                await self.assert_refused(connect)

    async def test_refused_without_a_certificate(self) -> None:
        peer = self.serve(issue(self.trusted_authority, "far"))
        endpoint = TCP4ClientEndpoint(REACTOR, peer.host, peer.port)
        secure = wrapClientTLS(
            ClientWithoutCertificate(self.trusted_authority), endpoint
        )

        def connect(factory: Any) -> Any:
            attempt: Deferred[Any] = secure.connect(factory)
            return attempt.addCallback(lambda end: end.wait_for_greeting())

        await self.assert_refused(connect)

    async def assert_refused(self, connect: Any) -> None:
        factory = LinkFactory(self.make_node("near"))
        build, built = factory.buildProtocol, []

        def build_casting(addr: object) -> Any:
            # Sends a cast right after its greeting, without waiting for the peer's.
            protocol = build(addr)
            assert protocol is not None
            begin = protocol.connectionMade

            def send() -> None:
                begin()
                protocol.cast(Drain())

            protocol.connectionMade = send  # type: ignore[method-assign]
            built.append(protocol)
            return protocol

        factory.buildProtocol = build_casting  # type: ignore[method-assign]
        refused: list[Any] = []
        await connect(factory).addErrback(refused.append)
        self.assertEqual(len(refused), 1)
        self.assertEqual(self.casts, [])
        await built[0].closed

    def test_frames_before_an_authenticated_greeting_are_dropped(self) -> None:
        # A process with a valid certificate greets with another node's name, or not at
        # all, and sends casts in the same bytes.
        import msgspec

        from tests.adapters.test_links import FakeTransport

        hello, cast = Hello(node="near", protocol=1), Cast(body=Drain())
        bad = Hello(node="other", protocol=1)
        cases = (
            ("name in the certificate", (hello, cast), 1),
            ("other name", (bad, cast), 0),
            ("no greeting", (cast,), 0),
            ("renamed later", (hello, bad, cast), 0),
        )
        for name, frames, delivered in cases:
            with self.subTest(name):
                self.casts.clear()
                node = self.make_node("far")
                node.read_names = lambda transport: frozenset({"near"})
                protocol = LinkFactory(node).buildProtocol(None)
                assert protocol is not None
                transport: Any = FakeTransport()  # type: ignore[no-untyped-call]
                protocol.makeConnection(transport)  # type: ignore[no-untyped-call]
                protocol.dataReceived(b"".join(map(msgspec.msgpack.encode, frames)))
                self.assertEqual(len(self.casts), delivered)
                self.assertEqual(transport.aborted, not delivered)
                protocol.connectionLost()


class DaemonTest(TlsTestCase):
    """Both daemons with TLS on all their listeners."""

    async def test_entry_and_control(self) -> None:
        control_tls = issue(self.trusted_authority, "control-1")
        entry_tls = issue(self.trusted_authority, "entry-1")
        served = without_authority(entry_tls)
        control = start_control(
            ControlSettings(
                role="control",
                node="control-1",
                data_centre="bole",
                data_folder=self.folder / "data",
                links=LinkListener(tls=control_tls),
                admin=Listener(tls=control_tls),
                members=(Peer(node="control-1"),),
            ),
            REACTOR,
        )
        port = control.link_port.getHost().port
        entry = start_entry(
            EntrySettings(
                role="entry",
                node="entry-1",
                data_centre="bole",
                callers=Listener(tls=served),
                drain_notice=0,
                upstreams=Listener(tls=entry_tls),
                links=LinkListener(tls=entry_tls),
                control=(Peer(node="control-1", port=port),),
            ),
            REACTOR,
        )
        try:
            up: Deferred[None] = Deferred()
            link = entry.context.control.links["control-1"]
            link.on_up = lambda: up.callback(None)
            await up.addTimeout(TIMEOUT, REACTOR)
            while entry.periodic_tasks.renewal is None:
                await renew_once(entry.context)

            self.assertEqual(await self.ask(entry.caller_port), 200)
            self.assertEqual(await self.ask(control.admin_port), 0)
            self.assertEqual(await self.ask(entry.upstream_port), 0)
            # Replies arrive in order, so no earlier renewal is still pending after it.
            stop_periodic_tasks(entry.periodic_tasks)
            await renew_once(entry.context)
            self.assertTrue(may_admit(entry.context.lease, entry.context.clock()))
        finally:
            await stop_entry(entry)
            await stop_control(control)

    async def ask(self, port: Any) -> int:
        """Return the status for a client without a certificate; 0 if refused."""
        agent = Agent(
            REACTOR, FixedClientPolicy(ClientWithoutCertificate(self.trusted_authority))
        )
        url = f"https://127.0.0.1:{port.getHost().port}/healthz"
        try:
            response = await treq.get(url, agent=agent)
        except Exception as error:
            self.assertIn("SSL", repr(error))
            return 0

        await treq.content(response)
        return int(response.code)
