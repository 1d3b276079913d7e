"""Tests of TLS."""

from __future__ import annotations

import contextlib
import os
from typing import TYPE_CHECKING

import pytest
from OpenSSL import SSL

from tests.support._certificates import CertificateAuthority
from wisteriagw.tls import ConnectionCreator, TlsFiles

if TYPE_CHECKING:
    import pathlib

MAX_FLIGHTS = 10


def perform_handshake(
    client: ConnectionCreator, server: ConnectionCreator
) -> SSL.Connection:
    """Perform a handshake in memory; raises SSL.Error if one end rejects the other."""
    client_end = client.clientConnectionForTLS(None)
    server_end = server.serverConnectionForTLS(None)
    client_end.set_connect_state()
    server_end.set_accept_state()
    for _ in range(MAX_FLIGHTS):
        for end, other in ((client_end, server_end), (server_end, client_end)):
            with contextlib.suppress(SSL.WantReadError):
                end.do_handshake()
            try:
                other.bio_write(end.bio_read(65536))
            except SSL.WantReadError:
                continue
    # Under TLS 1.3 the client completes its handshake before the server verifies it.
    server_end.send(b"ready")
    client_end.bio_write(server_end.bio_read(65536))
    assert client_end.recv(5) == b"ready"
    return client_end


class TestFleetCertificates:
    """Guards against accepting processes without a certificate of the fleet."""

    @pytest.fixture(autouse=True)
    def make_authority(self, tmp_path: pathlib.Path) -> None:
        self.folder = tmp_path
        self.fleet = CertificateAuthority(tmp_path, "fleet")
        paths = self.fleet.issue("server")
        self.server = ConnectionCreator(TlsFiles(*paths, self.fleet.path))

    def test_member_is_accepted(self) -> None:
        paths = self.fleet.issue("member")
        perform_handshake(
            ConnectionCreator(TlsFiles(*paths, self.fleet.path)), self.server
        )

    @pytest.mark.parametrize("fault", ["expired", "foreign"])
    def test_other_certificates_are_refused(self, fault: str) -> None:
        authority, days = self.fleet, -1
        if fault == "foreign":
            authority, days = CertificateAuthority(self.folder, "other"), 30
        paths = authority.issue("outsider", days)
        client = ConnectionCreator(TlsFiles(*paths, self.fleet.path))
        with pytest.raises(SSL.Error):
            perform_handshake(client, self.server)

    def test_client_refuses_a_foreign_server(self) -> None:
        other = CertificateAuthority(self.folder, "other")
        server = ConnectionCreator(TlsFiles(*other.issue("fake"), self.fleet.path))
        client = ConnectionCreator(
            TlsFiles(*self.fleet.issue("member"), self.fleet.path)
        )
        with pytest.raises(SSL.Error):
            perform_handshake(client, server)

    def test_wrong_key_is_refused_at_start(self) -> None:
        certificate, _ = self.fleet.issue("one")
        _, key = self.fleet.issue("two")
        with pytest.raises(SSL.Error):
            ConnectionCreator(TlsFiles(certificate, key))


class TestReplacement:
    """Guards against a restart or an outage when a certificate is replaced."""

    def test_valid_replacement_is_used_and_an_invalid_one_is_not(
        self, tmp_path: pathlib.Path
    ) -> None:
        fleet = CertificateAuthority(tmp_path, "fleet")
        paths = fleet.issue("server", days=-1)
        server = ConnectionCreator(TlsFiles(*paths, fleet.path))
        client = ConnectionCreator(TlsFiles(*fleet.issue("member"), fleet.path))
        with pytest.raises(SSL.Error):
            perform_handshake(client, server)
        os.utime(fleet.issue("server")[0], (1, 1))
        assert server.reload()
        perform_handshake(client, server)
        (tmp_path / "server.pem").write_text("half")
        assert not server.reload()
        perform_handshake(client, server)
