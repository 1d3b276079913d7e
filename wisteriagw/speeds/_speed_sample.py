"""Measured duration of a part of a request at a backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.fleet import BackendServer


class SpeedSample(NamedTuple):
    """Expected and measured seconds of what a caller waited for.

    Attributes
    ----------
    server : BackendServer
        Server that was measured.
    kind : str
        Samples are compared only with those of the same service and kind.
    expected : float
        Seconds that the same work takes at a server of speed 1, up to a factor that
        all samples of the service and kind have in common.
    measured : float
        Seconds that it took.
    weight : float
        Weight of the sample; 1 for an answer of a plain service.
    """

    server: BackendServer
    kind: str
    expected: float
    measured: float
    weight: float = 1.0
