"""Names of the settings that give the files of one interface."""

from __future__ import annotations

from typing import NamedTuple


class TlsNames(NamedTuple):
    """Settings of the certificate, its key and the authorities of peers.

    Attributes
    ----------
    certificate, key : str
        Names of the settings.
    authority : str
        Name of the setting; empty where peers show no certificate.
    """

    certificate: str
    key: str
    authority: str = ""


CALLER_TLS = TlsNames("tls-certificate", "tls-key")
FLEET_TLS = TlsNames("fleet-certificate", "fleet-key", "fleet-authority")
