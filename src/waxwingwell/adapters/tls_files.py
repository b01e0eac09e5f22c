"""Certificates and keys named in the settings, reloaded when they are renewed."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import TypeVar

from cryptography import x509
from loguru import logger
from OpenSSL import SSL
from OpenSSL import crypto

from ..records import Finding
from .exceptions import SettingsError
from .exceptions import TlsFileError
from .settings import Tls
from .settings import render_findings


if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from .settings import Listener


ContentT = TypeVar("ContentT")
Stamp = tuple[tuple[int, int, int] | None, ...]
"""Modification time in ns, size and inode of each file; None for a missing file."""


@dataclass(slots=True)
class TlsSource:
    """One ``tls`` object of the settings, and the files as they were last loaded."""

    place: str
    """Place in the settings that names the files, such as ``links.tls``."""
    tls: Tls
    node: str = ""
    """Name that this process's own certificate must contain; empty for any."""
    stamp: Stamp = ()
    material: Material | None = None


@dataclass(frozen=True, slots=True)
class Material:
    """Contents of the files, kept in memory in case a renewal is unusable."""

    chain: tuple[crypto.X509, ...]
    """Certificate chain, with this process's own certificate first."""
    key: crypto.PKey
    authorities: tuple[crypto.X509, ...] = ()


def open_tls(node: str, listeners: dict[str, Listener]) -> dict[str, TlsSource | None]:
    """Return the source of each listener, None for plain text.

    The certificate of ``links`` must contain the name ``node``. Errors:
    ``SettingsError`` with the first fault of each listener's files.
    """
    sources: dict[str, TlsSource | None] = {}
    findings: list[Finding] = []
    for name, listener in listeners.items():
        sources[name] = None
        if listener.tls is None:
            continue

        source = TlsSource(
            place=f"{name}.tls",
            tls=listener.tls,
            node=node if name == "links" else "",
        )
        sources[name] = source
        source.stamp = read_stamp(source.tls)
        try:
            source.material = read_material(source)
        except TlsFileError as error:
            findings.append(Finding(place=error.place, message=error.reason))

    if findings:
        raise SettingsError(render_findings(tuple(findings)))

    return sources


def read_stamp(tls: Tls) -> Stamp:
    """Return a stamp that differs once a file has been renewed."""
    return tuple(
        _read_file_stamp(path)
        for path in (tls.certificate, tls.private_key, tls.authority)
        if path is not None
    )


def read_material(source: TlsSource) -> Material:
    """Read and validate the files; ``TlsFileError`` names the place and the path."""
    tls, place = source.tls, source.place
    chain = _read_chain(f"{place}.certificate", tls.certificate)
    # Without a passphrase argument, OpenSSL would prompt for one on the terminal, and
    # the process would hang at its start.
    key = _parse(
        f"{place}.private_key",
        tls.private_key,
        lambda data: crypto.load_privatekey(crypto.FILETYPE_PEM, data, b""),
    )
    if not _is_key_of(chain[0], key):
        raise TlsFileError(
            f"{place}.private_key",
            f"{tls.private_key}: not the key of the certificate {tls.certificate}",
        )

    names = read_names(chain[0])
    if source.node and source.node not in names:
        raise TlsFileError(
            f"{place}.certificate",
            f"{tls.certificate}: contains names {sorted(names)}, not {source.node!r}",
        )

    authorities: tuple[crypto.X509, ...] = ()
    if tls.authority is not None:
        authorities = _read_chain(f"{place}.authority", tls.authority)

    return Material(chain=chain, key=key, authorities=authorities)


def get_material(source: TlsSource) -> Material:
    """Return the files' contents, reloaded if a file has changed.

    An incomplete or invalid renewal would make every new connection fail, so the
    former contents stay in use, and the fault is logged once per change of a file.
    """
    stamp = read_stamp(source.tls)
    if stamp != source.stamp or source.material is None:
        source.stamp = stamp
        try:
            source.material = read_material(source)
        except TlsFileError as error:
            logger.error(
                "tls: Renewed files unusable, kept the former ones. {}: {}.",
                error.place,
                error,
            )
        else:
            logger.info("tls: Loaded the renewed files of {}.", source.place)

    if source.material is None:
        raise TlsFileError(source.place, "no usable certificate and key")

    return source.material


def read_names(certificate: crypto.X509 | None) -> frozenset[str]:
    """Return the common names and the DNS alternative names of a certificate."""
    if certificate is None:
        return frozenset()

    content = certificate.to_cryptography()
    names = {
        str(item.value)
        for item in content.subject.get_attributes_for_oid(x509.NameOID.COMMON_NAME)
    }
    try:
        found = content.extensions.get_extension_for_class(x509.SubjectAlternativeName)
    except x509.ExtensionNotFound:
        return frozenset(names)

    return frozenset(names | set(found.value.get_values_for_type(x509.DNSName)))


def _is_key_of(certificate: crypto.X509, key: crypto.PKey) -> bool:
    context = SSL.Context(SSL.TLS_METHOD)
    context.use_certificate(certificate)
    try:
        context.use_privatekey(key)
        context.check_privatekey()
    except SSL.Error:
        return False

    return True


def _read_file_stamp(path: Path) -> tuple[int, int, int] | None:
    try:
        stat = path.stat()
    except OSError:
        return None

    return (stat.st_mtime_ns, stat.st_size, stat.st_ino)


def _read_chain(place: str, path: Path) -> tuple[crypto.X509, ...]:
    return _parse(
        place,
        path,
        lambda data: tuple(
            crypto.X509.from_cryptography(item)
            for item in x509.load_pem_x509_certificates(data)
        ),
    )


def _parse(place: str, path: Path, parse: Callable[[bytes], ContentT]) -> ContentT:
    try:
        return parse(path.read_bytes())
    except OSError as error:
        raise TlsFileError(place, f"{path}: {error.strerror}") from error
    except (ValueError, crypto.Error) as error:
        raise TlsFileError(place, f"{path}: not usable PEM, {error!r}") from error
