"""Names of the settings of one interface's TLS files."""

from __future__ import annotations

from typing import NamedTuple


class TlsNames(NamedTuple):
    """Names of the settings of the certificate, its key and the peers' authorities.

    Attributes
    ----------
    certificate, key : str
        Names of the settings.
    authority : str
        Name of the setting; empty if peers need no certificate.
    """

    certificate: str
    key: str
    authority: str = ""


CALLER_TLS = TlsNames("tls-certificate", "tls-key")
FLEET_TLS = TlsNames("fleet-certificate", "fleet-key", "fleet-authority")
