"""Queue of notices for the next message to peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.gateway.notices._rows import decode_rows, encode_rows

if TYPE_CHECKING:
    from typing import Any

    from wisteriagw.messages import ServerNotices

# Notices in one message, which keeps it within the buffer of a connection.
MAX_SENT_NOTICES = 500


class NoticeQueue:
    """Newest notice of each kind and server between two messages."""

    def __init__(self) -> None:
        self._notices: dict[tuple[type, str], tuple[Any, float]] = {}

    def add(self, notice: Any, at: float) -> None:
        """Add a notice given at a time."""
        self._notices[type(notice), notice.server] = (notice, at)

    def add_all(self, reports: ServerNotices, now: float) -> None:
        """Add the notices of a message."""
        for notice, at in decode_rows(reports, now):
            self.add(notice, at)

    def pop(self, now: float) -> ServerNotices:
        """Remove and return the notices of the next message."""
        keys = list(self._notices)[:MAX_SENT_NOTICES]
        return encode_rows([self._notices.pop(key) for key in keys], now)
