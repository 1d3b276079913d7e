"""TLS for callers and between processes, with reloadable certificates."""

from __future__ import annotations

from wisteriagw.tls._connection_creator import ConnectionCreator
from wisteriagw.tls._endpoints import listen_tls, wrap_client_endpoint
from wisteriagw.tls._tls_files import TlsFiles

__all__ = ["ConnectionCreator", "TlsFiles", "listen_tls", "wrap_client_endpoint"]
