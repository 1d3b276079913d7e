"""Files that a TLS end needs."""

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
        Certificates of the authorities whose peers are let in; None asks peers for no
        certificate.
    """

    certificate: str
    key: str
    peer_authorities: str | None = None
