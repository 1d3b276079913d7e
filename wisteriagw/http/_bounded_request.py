"""Server request that bounds the size of its body."""

from __future__ import annotations

import logging
from io import BytesIO
from typing import Any

from twisted.web.server import Request

from wisteriagw.http._replies import write_error

logger = logging.getLogger(__name__)

MAX_BODY_BYTES = 8 * 1024 * 1024


class BoundedRequest(Request):
    """Request whose body is kept in memory, up to a maximum size.

    The base class spools bodies to a file, and the VMs have no disks.

    Attributes
    ----------
    error_code : str
        Code of the error response; empty without one.
    not_run : bool or None
        Field ``not_run`` of the error response; None without one.
    """

    error_code = ""
    not_run: bool | None = None
    body_too_large = False
    disconnected = False

    def connectionLost(self, reason: Any) -> None:
        """Record that the client disconnected; a later write would raise an error."""
        self.disconnected = True
        super().connectionLost(reason)

    def gotLength(self, length: int | None) -> None:
        """Prepare for a body of the given length, None if it is chunked."""
        self.content = BytesIO()
        if length is not None and length > MAX_BODY_BYTES:
            self.body_too_large = True

    def handleContentChunk(self, data: bytes) -> None:
        """Append a chunk unless the body exceeds the bound."""
        if self.body_too_large:
            return
        if self.content.tell() + len(data) > MAX_BODY_BYTES:
            self.body_too_large = True
            return
        self.content.write(data)

    def getHeader(self, key: Any) -> Any:
        """Return a header; a value that is not UTF-8 is decoded as Latin-1."""
        try:
            return super().getHeader(key)
        except UnicodeDecodeError:
            return super().getHeader(key.encode("ascii")).decode("latin-1")

    def render(self, resource: Any) -> None:
        """Render a resource; exceptions are logged and never shown to the client."""
        try:
            super().render(resource)
        except Exception:
            logger.exception("unhandled exception in the request for %s", self.path)
            if not self.startedWriting and not self.disconnected:
                message = "internal error"
                write_error(self, 500, "may_have_run", message, not_run=False)

    def write_chunk(self, data: bytes) -> None:
        """Write a chunk of the body after the first one.

        It skips the checks that ``write`` repeats for each chunk, which are a large
        share of the cost of a token.
        """
        if self.disconnected:
            return
        if not self.chunked:
            self.write(data)
            return
        self.channel.write(b"%x\r\n%b\r\n" % (len(data), data))
