"""Certificates of a scenario's fleet."""

from __future__ import annotations

import pathlib
import socket
import ssl

from tests.support._certificates import CertificateAuthority


class FleetCertificates:
    """Certificates by name: a valid one of a member, and invalid ones.

    Attributes
    ----------
    environment : dict of str to str
        Settings of the programs' certificate files, as environment variables.
    """

    def __init__(self, folder: str) -> None:
        path = pathlib.Path(folder)
        self.fleet = CertificateAuthority(path, "fleet")
        self.callers = CertificateAuthority(path, "callers")
        foreign = CertificateAuthority(path, "other")
        self.paths = {
            "member": self.fleet.issue("member"),
            "expired": self.fleet.issue("expired", days=-1),
            "foreign": foreign.issue("foreign"),
            "callers": self.callers.issue("entry"),
        }
        self.environment = {
            "WISTERIAGW_TLS_CERTIFICATE": self.paths["callers"][0],
            "WISTERIAGW_TLS_KEY": self.paths["callers"][1],
            "WISTERIAGW_FLEET_CERTIFICATE": self.paths["member"][0],
            "WISTERIAGW_FLEET_KEY": self.paths["member"][1],
            "WISTERIAGW_FLEET_AUTHORITY": self.fleet.path,
        }

    def replace(self) -> None:
        """Overwrite the certificate files with new certificates."""
        self.fleet.issue("member")
        self.callers.issue("entry")

    def build_client(self, authority: str, name: str = "none") -> ssl.SSLContext:
        """Return the TLS context of a client with a named certificate."""
        context = ssl.create_default_context(cafile=authority)
        # The subject of a certificate is the fleet, not an address.
        context.check_hostname = False
        if name != "none":
            context.load_cert_chain(*self.paths[name])
        return context

    def is_accepted(self, address: str, name: str) -> bool:
        """Return whether a server accepts a client with a named certificate."""
        host, port = address.split(":")
        try:
            connection = socket.create_connection((host, int(port)), timeout=5)
            with connection:
                if name != "plain text":
                    client = self.build_client(self.fleet.path, name)
                    connection = client.wrap_socket(connection)
                # Under TLS 1.3 the client sees a refusal only at its first read.
                connection.sendall(b"GET /mesh/vm-9 HTTP/1.1\r\nHost: x\r\n\r\n")
                return connection.recv(5) == b"HTTP/"
        except OSError:
            return False

    def read_server_certificate(self, address: str) -> bytes:
        """Return the certificate that a server presents, in DER form."""
        host, port = address.split(":")
        client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        client.check_hostname = False
        client.verify_mode = ssl.CERT_NONE
        client.load_cert_chain(*self.paths["member"])
        with (
            socket.create_connection((host, int(port)), timeout=5) as connection,
            client.wrap_socket(connection) as secured,
        ):
            return secured.getpeercert(binary_form=True)
