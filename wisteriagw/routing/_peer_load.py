"""Outstanding work of another entry VM on the backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping


class PeerLoad(NamedTuple):
    """Outstanding work of another entry VM, from its heartbeat.

    Attributes
    ----------
    vm : str
        The other entry VM.
    loads : mapping of str to tuple of float and int
        Prompt tokens of requests without a first token, and streams, by backend server.
    """

    vm: str
    loads: Mapping[str, tuple[float, int]]
