"""HTTP client of the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

import cbor2
from twisted.internet.defer import inlineCallbacks

from wisteriagw.clients._log_page import LogPage
from wisteriagw.clients._log_record import LogRecord
from wisteriagw.clients._log_unavailable import LogUnavailableError
from wisteriagw.outcomes import Done, FailedNotRun

if TYPE_CHECKING:
    from collections.abc import Generator
    from typing import Any

    from twisted.internet.defer import Deferred

    from wisteriagw.http import HttpClient
    from wisteriagw.outcomes import Outcome

LOG_TIMEOUT_SECONDS = 2.0


class HttpLogClient:
    """Client of the log at one address.

    Parameters
    ----------
    client : HttpClient
        HTTP client that sends the calls.
    address : tuple of str and int
        IP address and port of the log.

    Attributes
    ----------
    unavailable_calls : int
        Number of failed calls since the start.
    """

    def __init__(self, client: HttpClient, address: tuple[str, int]) -> None:
        self._client = client
        self._address = address
        self.unavailable_calls = 0

    @inlineCallbacks
    def append(self, stream: str, data: bytes) -> Generator[Deferred[Any], Any, int]:
        """Append a record and return its offset."""
        outcome = yield self._client.send(
            self._address,
            "POST",
            f"/streams/{stream}",
            body=data,
            timeout=LOG_TIMEOUT_SECONDS,
        )
        return int(self._decode(outcome)["offset"])

    @inlineCallbacks
    def read(
        self, stream: str, start: int, limit: int
    ) -> Generator[Deferred[Any], Any, LogPage]:
        """Read records from an offset on."""
        outcome = yield self._client.send(
            self._address,
            "GET",
            f"/streams/{stream}?from={start}&limit={limit}",
            timeout=LOG_TIMEOUT_SECONDS,
        )
        reply = self._decode(outcome)
        return LogPage(
            first_offset=reply["first_offset"],
            next_offset=reply["next_offset"],
            records=tuple(LogRecord(*pair) for pair in reply["records"]),
        )

    def _decode(self, outcome: Outcome) -> dict[str, Any]:
        try:
            return _decode_reply(outcome)
        except LogUnavailableError:
            self.unavailable_calls += 1
            raise


def _decode_reply(outcome: Outcome) -> dict[str, Any]:
    if not isinstance(outcome, Done):
        may_have_run = not isinstance(outcome, FailedNotRun)
        raise LogUnavailableError(str(outcome), may_have_run=may_have_run)
    if outcome.status != 200:
        raise LogUnavailableError(f"the log responded with status {outcome.status}")
    try:
        reply = cbor2.loads(outcome.body)
    except (ValueError, cbor2.CBORDecodeError) as error:
        raise LogUnavailableError(f"the log's reply is not CBOR: {error}") from error
    if not isinstance(reply, dict):
        raise LogUnavailableError("the log's reply is not a map")
    return reply
