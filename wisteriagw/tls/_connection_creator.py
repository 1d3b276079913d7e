"""Creator of TLS connections with a reloadable certificate."""

from __future__ import annotations

import logging
import os
from typing import TYPE_CHECKING, Any

from OpenSSL import SSL
from twisted.internet.interfaces import (
    IOpenSSLClientConnectionCreator,
    IOpenSSLServerConnectionCreator,
)
from zope.interface import implementer

from wisteriagw.tls._context import build_context

if TYPE_CHECKING:
    from wisteriagw.tls._tls_files import TlsFiles

logger = logging.getLogger(__name__)


@implementer(IOpenSSLClientConnectionCreator, IOpenSSLServerConnectionCreator)
class ConnectionCreator:
    """Creates TLS connections with the newest valid certificate.

    Parameters
    ----------
    files : TlsFiles
        Files that are read at construction and on ``reload``.
    """

    def __init__(self, files: TlsFiles) -> None:
        self._files = files
        self._versions = self._read_file_versions()
        self._context = build_context(files)

    def reload(self) -> bool:
        """Read the files again if one has changed; true if a new context is in use.

        An invalid replacement, such as a partly written file, is logged, and the
        certificate in use stays.
        """
        try:
            versions = self._read_file_versions()
            if versions == self._versions:
                return False
            self._context = build_context(self._files)
        except (OSError, SSL.Error) as error:
            logger.error("invalid new certificate, keeping the one in use: %r", error)
            return False
        self._versions = versions
        logger.info("reloaded certificate %s", self._files.certificate)
        return True

    def serverConnectionForTLS(self, protocol: Any) -> SSL.Connection:
        """Return the server end of a connection."""
        return SSL.Connection(self._context, None)

    def clientConnectionForTLS(self, protocol: Any) -> SSL.Connection:
        """Return the client end of a connection."""
        return SSL.Connection(self._context, None)

    def _read_file_versions(self) -> tuple[tuple[float, int], ...]:
        versions = []
        for path in self._files:
            if path is None:
                continue
            status = os.stat(path)
            versions.append((status.st_mtime_ns, status.st_ino))
        return tuple(versions)
