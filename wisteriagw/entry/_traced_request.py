"""Request of a caller that is reported when it ends."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wisteriagw.http import BoundedRequest

if TYPE_CHECKING:
    from wisteriagw.entry._request_trace import RequestTrace


class TracedRequest(BoundedRequest):
    """Tells its ``CallerSite`` once when it begins and once when it ends."""

    trace: RequestTrace | None = None

    def process(self) -> None:
        """Serve the request."""
        self.trace = self.channel.site.begin_request()
        super().process()

    def finish(self) -> None:
        """End the request with a whole answer."""
        super().finish()
        self._report(answered=True)

    def connectionLost(self, reason: Any) -> None:
        """End the request without one."""
        super().connectionLost(reason)
        self._report(answered=False)

    def _report(self, *, answered: bool) -> None:
        if self.trace is None:
            # Lost before it was received whole, or reported already.
            return
        trace, self.trace = self.trace, None
        self.site.end_request(self, trace, answered=answered)
