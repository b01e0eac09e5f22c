"""Creates certificates for TLS tests in a folder of the test."""

from __future__ import annotations

import datetime
from dataclasses import dataclass
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec

from waxwingwell.adapters.settings import LinkTls


PEM = serialization.Encoding.PEM
START = datetime.datetime(2020, 1, 1, tzinfo=datetime.UTC)
END = datetime.datetime(2120, 1, 1, tzinfo=datetime.UTC)


@dataclass(frozen=True, slots=True)
class Authority:
    """A certificate authority: its signing key and its certificate."""

    folder: Path
    key: ec.EllipticCurvePrivateKey
    certificate: x509.Certificate
    path: Path


def make_authority(folder: Path, name: str) -> Authority:
    """Create an authority whose certificate is ``name.pem``."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = _name(name)
    certificate = (
        _start_certificate(subject, subject, key.public_key())
        .add_extension(x509.BasicConstraints(ca=True, path_length=None), critical=True)
        .sign(key, hashes.SHA256())
    )
    path = folder / f"{name}.pem"
    path.write_bytes(certificate.public_bytes(PEM))
    return Authority(folder, key, certificate, path)


def issue(
    authority: Authority, stem: str, *, name: str = "", alternative: str = ""
) -> LinkTls:
    """Issue a certificate, written with its key to files named after ``stem``.

    ``name`` is the common name, by default ``stem``.
    """
    key = ec.generate_private_key(ec.SECP256R1())
    builder = _start_certificate(
        _name(name or stem), authority.certificate.subject, key.public_key()
    )
    if alternative:
        names = x509.SubjectAlternativeName([x509.DNSName(alternative)])
        builder = builder.add_extension(names, critical=False)

    certificate = builder.sign(authority.key, hashes.SHA256())
    tls = LinkTls(
        certificate=authority.folder / f"{stem}.crt",
        private_key=authority.folder / f"{stem}.key",
        authority=authority.path,
    )
    tls.certificate.write_bytes(certificate.public_bytes(PEM))
    write_key(tls.private_key, key, serialization.NoEncryption())
    return tls


def write_key(
    path: Path,
    key: ec.EllipticCurvePrivateKey,
    encryption: serialization.KeySerializationEncryption,
) -> None:
    """Write a private key as PEM."""
    private_format = serialization.PrivateFormat.PKCS8
    path.write_bytes(key.private_bytes(PEM, private_format, encryption))


def _name(name: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])


def _start_certificate(
    subject: x509.Name, issuer: x509.Name, key: ec.EllipticCurvePublicKey
) -> x509.CertificateBuilder:
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(key)
        .serial_number(x509.random_serial_number())
        .not_valid_before(START)
        .not_valid_after(END)
    )
