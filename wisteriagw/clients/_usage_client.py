"""Client of the platform's usage interface."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import inlineCallbacks

from wisteriagw.clients._usage_unavailable import UsageUnavailableError
from wisteriagw.outcomes import Done

if TYPE_CHECKING:
    from collections.abc import Generator

    from twisted.internet.defer import Deferred

    from wisteriagw.http import HttpClient

USAGE_TIMEOUT_SECONDS = 5.0


class UsageClient:
    """Client of the usage interface over HTTP."""

    def __init__(self, client: HttpClient, address: tuple[str, int]) -> None:
        self._client = client
        self._address = address

    @inlineCallbacks
    def report(
        self, window: int, customer: str, rows: list[list[Any]], fencing_number: int
    ) -> Generator[Deferred[Any], Any, None]:
        """Report a customer's usage figures of a window.

        Fails with UsageUnavailableError; the same report may then be sent again.
        """
        body = {
            "window": window,
            "customer": customer,
            "rows": rows,
            "fencing_number": fencing_number,
        }
        data = json.dumps(body).encode("utf-8")
        outcome = yield self._client.send(
            self._address, "POST", "/reports", data, timeout=USAGE_TIMEOUT_SECONDS
        )
        if not isinstance(outcome, Done) or outcome.status != 200:
            raise UsageUnavailableError(str(outcome))
