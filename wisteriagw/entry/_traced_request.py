"""Request of a caller that is reported at its end."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wisteriagw.http import BoundedRequest

if TYPE_CHECKING:
    from wisteriagw.entry._request_trace import RequestTrace


class TracedRequest(BoundedRequest):
    """Notifies its ``CallerSite`` once at its start and once at its end."""

    trace: RequestTrace | None = None

    def process(self) -> None:
        """Serve the request."""
        self.trace = self.channel.site.begin_request()
        super().process()

    def finish(self) -> None:
        """End the request with a complete response."""
        super().finish()
        self._report(answered=True)

    def connectionLost(self, reason: Any) -> None:
        """End the request without a complete response."""
        super().connectionLost(reason)
        self._report(answered=False)

    def _report(self, *, answered: bool) -> None:
        if self.trace is None:
            # Lost before it was received completely, or reported already.
            return
        trace, self.trace = self.trace, None
        self.site.end_request(self, trace, answered=answered)
