"""Files of a TLS endpoint."""

from __future__ import annotations

from typing import NamedTuple


class TlsFiles(NamedTuple):
    """Paths of PEM files.

    Attributes
    ----------
    certificate : str
        Certificate chain of this process.
    key : str
        Private key of the certificate.
    peer_authorities : str or None
        Certificates of the authorities that sign the peers' certificates; with None,
        peers are not asked for a certificate.
    """

    certificate: str
    key: str
    peer_authorities: str | None = None
