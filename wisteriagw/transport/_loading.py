"""Loading of the transport of an interface from its settings."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wisteriagw.findings import Finding
from wisteriagw.mesh._plain_transport import PlainTransport

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wisteriagw.transport._tls_names import TlsNames


def load_transport(settings: Mapping[str, Any], names: TlsNames) -> Any:
    """Return the transport; the files must have passed ``check_tls_files``."""
    if settings[names.certificate] is None:
        return PlainTransport()
    # pyOpenSSL and cryptography take 12.4 MB (44.0 against 56.4 MB resident on x86-64).
    # Twisted's HTTP client imports them where they are installed, so the late import
    # saves 0.2 MB there and all of it where they are not.
    from wisteriagw.tls import TlsFiles
    from wisteriagw.transport._tls_transport import TlsTransport

    authority = settings[names.authority] if names.authority else None
    return TlsTransport(
        TlsFiles(settings[names.certificate], settings[names.key], authority)
    )


def check_tls_files(settings: Mapping[str, Any], names: TlsNames) -> list[Finding]:
    """Return the findings on the TLS files of an interface.

    A setting that is absent from ``settings`` already has its own finding.
    """
    needed = [name for name in names if name]
    if any(name not in settings for name in needed):
        return []
    missing = [name for name in needed if settings[name] is None]
    if len(missing) == len(needed):
        return []
    if missing:
        given = next(name for name in needed if name not in missing)
        message = f"must be given together with --{given}"
        return [Finding(f"--{name}", message) for name in missing]
    try:
        load_transport(settings, names)
    except Exception as error:
        # SSL.Error cannot be caught by name without importing pyOpenSSL.
        message = f"certificate, key or authority cannot be used: {error!r}"
        return [Finding(f"--{names.certificate}", message)]
    return []
