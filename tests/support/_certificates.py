"""Certificates generated for a test."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

if TYPE_CHECKING:
    import pathlib


class CertificateAuthority:
    """Certificate authority that writes its certificates to a folder."""

    def __init__(self, folder: pathlib.Path, name: str) -> None:
        self._folder = folder
        self._name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        self._key = ec.generate_private_key(ec.SECP256R1())
        certificate = self._sign(self._name, self._key.public_key(), days=30, ca=True)
        self.path = str(folder / f"{name}-ca.pem")
        self._write(self.path, certificate)

    def issue(self, name: str, days: int = 30) -> tuple[str, str]:
        """Write a certificate and its key; with negative days it is expired."""
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        certificate = self._sign(subject, key.public_key(), days, ca=False)
        paths = (str(self._folder / f"{name}.pem"), str(self._folder / f"{name}.key"))
        self._write(paths[0], certificate)
        data = key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
        with open(paths[1], "wb") as file:
            file.write(data)
        return paths

    def _sign(
        self, subject: x509.Name, key: object, days: int, *, ca: bool
    ) -> x509.Certificate:
        now = datetime.datetime.now(datetime.UTC)
        return (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self._name)
            .public_key(key)
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - datetime.timedelta(days=60))
            .not_valid_after(now + datetime.timedelta(days=days))
            .add_extension(
                x509.BasicConstraints(ca=ca, path_length=None), critical=True
            )
            .sign(self._key, hashes.SHA256())
        )

    def _write(self, path: str, certificate: x509.Certificate) -> None:
        with open(path, "wb") as file:
            file.write(certificate.public_bytes(serialization.Encoding.PEM))
