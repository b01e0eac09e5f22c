"""TLS of listeners and links, as configured by the settings."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from loguru import logger
from OpenSSL import SSL
from OpenSSL import crypto
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.endpoints import wrapClientTLS
from twisted.internet.interfaces import IOpenSSLClientConnectionCreator
from twisted.internet.interfaces import IOpenSSLServerConnectionCreator
from twisted.protocols.tls import TLSMemoryBIOFactory
from zope.interface import implementer

from .exceptions import TlsFileError
from .tls_files import TlsSource
from .tls_files import get_material
from .tls_files import read_names


if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.defer import Deferred
    from twisted.internet.protocol import Factory

    from .links import LinkProtocol
    from .settings import Listener
    from .settings import Peer


def read_peer_names(transport: Any) -> frozenset[str]:
    """Return the names in the certificate of a TLS connection's peer."""
    return read_names(transport.getPeerCertificate())


def make_context(source: TlsSource, *, peer: str = "") -> SSL.Context:
    """Return the context of one connection, which uses TLS 1.2 or newer.

    With an authority, the peer must present a certificate signed by it; with
    ``peer``, that certificate must also contain this name.
    """
    material = get_material(source)
    context = SSL.Context(SSL.TLS_METHOD)
    context.set_min_proto_version(SSL.TLS1_2_VERSION)
    # Resumed sessions would not be verified against the current files.
    context.set_session_cache_mode(SSL.SESS_CACHE_OFF)
    context.set_options(SSL.OP_NO_TICKET)
    context.use_certificate(material.chain[0])
    context.use_privatekey(material.key)
    for issuer in material.chain[1:]:
        context.add_extra_chain_cert(issuer)

    if not material.authorities:
        return context

    store = context.get_cert_store()
    if store is None:
        raise TlsFileError(
            f"{source.place}.authority", "OpenSSL has no store for authorities"
        )

    for authority in material.authorities:
        store.add_cert(authority)

    def verify_peer(
        connection: SSL.Connection,
        certificate: crypto.X509,
        error: int,
        depth: int,
        chain_ok: int,
    ) -> bool:
        if not chain_ok:
            logger.warning(
                "tls: Refused a peer on {}: verification error {}.", source.place, error
            )
            return False

        if depth == 0 and peer and not _has_name(certificate, peer):
            logger.warning(
                "tls: Refused a peer on {}: certificate does not name {}.",
                source.place,
                peer,
            )
            return False

        return True

    context.set_verify(SSL.VERIFY_PEER | SSL.VERIFY_FAIL_IF_NO_PEER_CERT, verify_peer)
    return context


@implementer(IOpenSSLServerConnectionCreator)
@implementer(IOpenSSLClientConnectionCreator)
class ConnectionMaker:
    """Creates the TLS state of each new connection from the current files."""

    def __init__(self, source: TlsSource, peer: str = "") -> None:
        self._source = source
        self._peer = peer

    def serverConnectionForTLS(self, tlsProtocol: Any) -> SSL.Connection:  # noqa: N802, N803
        """Return the TLS state of an accepted connection."""
        return SSL.Connection(make_context(self._source), None)

    def clientConnectionForTLS(self, tlsProtocol: Any) -> SSL.Connection:  # noqa: N802, N803
        """Return the TLS state of an outgoing connection."""
        return SSL.Connection(make_context(self._source, peer=self._peer), None)


def listen(
    reactor: Any, listener: Listener, factory: Any, source: TlsSource | None
) -> Any:
    """Listen with TLS, or in plain text if there is no ``source``."""
    if source is not None:
        factory = TLSMemoryBIOFactory(ConnectionMaker(source), False, factory)
        factory.noisy = False

    return reactor.listenTCP(listener.port, factory, interface=listener.host)


def get_factory(port: Any) -> Any:
    """Return the factory that was passed to ``listen``."""
    return getattr(port.factory, "wrappedFactory", port.factory)


def make_connector(
    reactor: Any, peer: Peer, source: TlsSource | None = None
) -> Callable[[Factory], Deferred[Any]]:
    """Return a function that connects a factory of links to a peer.

    With TLS, a connection is up only once the peer's greeting has arrived, since in
    TLS 1.3 the client's handshake ends before the peer has verified its certificate.
    Otherwise a refused link would be reported as up again and again.
    """
    endpoint = TCP4ClientEndpoint(reactor, peer.host, peer.port)
    if source is None:
        return endpoint.connect

    secure = wrapClientTLS(ConnectionMaker(source, peer.node), endpoint)

    def connect(factory: Factory) -> Deferred[Any]:
        attempt: Deferred[Any] = secure.connect(factory)
        return attempt.addCallback(_wait_for_greeting)

    return connect


def _wait_for_greeting(protocol: LinkProtocol) -> Deferred[LinkProtocol]:
    return protocol.wait_for_greeting()


def _has_name(certificate: crypto.X509, name: str) -> bool:
    try:
        return name in read_names(certificate)
    except ValueError:
        return False
