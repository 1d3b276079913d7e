"""Site of the caller interface."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING, Any

from twisted.web.server import Site

from wisteriagw.entry._request_report import build_report
from wisteriagw.entry._request_trace import RequestTrace
from wisteriagw.entry._traced_request import TracedRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.web.resource import Resource

    from wisteriagw.entry._request_report import RequestReport


# A generation has a longer id of its own, which is sent to its caller.
REQUEST_ID_BYTES = 8


class CallerSite(Site):
    """Serves callers and reports each request after its end.

    Parameters
    ----------
    root : Resource
        Root of the resource tree.
    clock : callable
        Returns the time in seconds.
    report : callable
        ``report(RequestReport)`` is called once for each request.
    """

    def __init__(
        self,
        root: Resource,
        clock: Callable[[], float],
        report: Callable[[RequestReport], None],
    ) -> None:
        super().__init__(root, requestFactory=TracedRequest)
        self.open_requests = 0
        self.clock = clock
        self._report = report

    def begin_request(self) -> RequestTrace:
        """Count a request and return its trace."""
        self.open_requests += 1
        return RequestTrace(self.clock(), secrets.token_hex(REQUEST_ID_BYTES))

    def end_request(self, request: Any, trace: RequestTrace, *, answered: bool) -> None:
        """Report a request that has ended."""
        self.open_requests -= 1
        self._report(build_report(request, trace, self.clock(), answered=answered))

    def log(self, request: Any) -> None:
        """Write no access log: the report contains the same facts."""
