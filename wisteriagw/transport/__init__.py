"""Transports of the programs' interfaces, plain text or TLS."""

from __future__ import annotations

from wisteriagw.mesh._plain_transport import PlainTransport
from wisteriagw.transport._loading import check_tls_files, load_transport
from wisteriagw.transport._options import CALLER_TLS_OPTIONS, FLEET_TLS_OPTIONS
from wisteriagw.transport._tls_names import CALLER_TLS, FLEET_TLS

__all__ = [
    "CALLER_TLS",
    "CALLER_TLS_OPTIONS",
    "FLEET_TLS",
    "FLEET_TLS_OPTIONS",
    "PlainTransport",
    "check_tls_files",
    "load_transport",
]
