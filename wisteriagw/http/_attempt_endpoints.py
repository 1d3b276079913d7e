"""Factory of the endpoints of one attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from wisteriagw.http._tracked_endpoint import TrackedEndpoint

if TYPE_CHECKING:
    from twisted.web.client import URI

    from wisteriagw.http._attempt_progress import AttemptProgress


@implementer(IAgentEndpointFactory)
class AttemptEndpoints:
    """Builds endpoints from IP addresses only, so that no name is resolved."""

    def __init__(
        self,
        reactor: Any,
        progress: AttemptProgress,
        connect_timeout: float,
        transport: Any,
    ) -> None:
        self._reactor = reactor
        self._progress = progress
        self._connect_timeout = connect_timeout
        self._transport = transport

    def endpointForURI(self, uri: URI) -> TrackedEndpoint:
        """Return the endpoint of a URI whose host is an IP address."""
        host = uri.host.decode("ascii")
        endpoint_type = TCP6ClientEndpoint if ":" in host else TCP4ClientEndpoint
        endpoint = endpoint_type(
            self._reactor, host, uri.port, timeout=self._connect_timeout
        )
        endpoint = self._transport.wrap_endpoint(endpoint)
        return TrackedEndpoint(endpoint, self._progress)
