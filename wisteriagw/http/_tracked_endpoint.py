"""Client endpoint that reports when its connection is established."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.interfaces import IStreamClientEndpoint
from zope.interface import implementer

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred
    from twisted.internet.interfaces import IProtocolFactory

    from wisteriagw.http._attempt_progress import AttemptProgress


@implementer(IStreamClientEndpoint)
class TrackedEndpoint:
    """Endpoint that keeps the progress of one attempt up to date."""

    def __init__(self, endpoint: Any, progress: AttemptProgress) -> None:
        self._endpoint = endpoint
        self._progress = progress

    def connect(self, protocol_factory: IProtocolFactory) -> Deferred[Any]:
        """Connect through the wrapped endpoint."""
        self._progress.start_connecting()
        connecting = self._endpoint.connect(protocol_factory)
        connecting.addCallback(self._progress.finish_connecting)
        return connecting
