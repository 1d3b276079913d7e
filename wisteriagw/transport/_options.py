"""Settings of TLS certificates."""

from __future__ import annotations

from wisteriagw.settings import FileKind, Option

CALLER_TLS_OPTIONS = (
    Option(
        "tls-certificate",
        FileKind(),
        "",
        "Certificate chain shown to callers; without it they connect in plain text.",
    ),
    Option("tls-key", FileKind(), "", "Private key of --tls-certificate."),
)
FLEET_TLS_OPTIONS = (
    Option(
        "fleet-certificate",
        FileKind(),
        "",
        "Certificate chain of this process for the mesh and the operators' interface; "
        "without it both are in plain text.",
    ),
    Option("fleet-key", FileKind(), "", "Private key of --fleet-certificate."),
    Option(
        "fleet-authority",
        FileKind(),
        "",
        "Certificate authorities that must have signed the certificates of both ends "
        "of a fleet connection.",
    ),
)
