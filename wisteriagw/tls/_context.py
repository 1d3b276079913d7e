"""OpenSSL contexts from files."""

from __future__ import annotations

from typing import TYPE_CHECKING

from OpenSSL import SSL

if TYPE_CHECKING:
    from wisteriagw.tls._tls_files import TlsFiles


def build_context(files: TlsFiles) -> SSL.Context:
    """Return a context for clients and servers; raises SSL.Error or OSError.

    Where peer authorities are given, peers must show a certificate signed by one of
    them. Host names are not verified: peers are addressed by IP addresses of VMs, which
    change, and a valid certificate proves that its owner belongs to the fleet.
    """
    context = SSL.Context(SSL.TLS_METHOD)
    context.set_min_proto_version(SSL.TLS1_2_VERSION)
    context.use_certificate_chain_file(files.certificate)
    context.use_privatekey_file(files.key)
    context.check_privatekey()
    if files.peer_authorities is None:
        return context
    context.load_verify_locations(files.peer_authorities)
    context.set_verify(
        SSL.VERIFY_PEER | SSL.VERIFY_FAIL_IF_NO_PEER_CERT, _accept_verified
    )
    return context


def _accept_verified(
    connection: SSL.Connection, certificate: object, error: int, depth: int, ok: int
) -> bool:
    return bool(ok)
