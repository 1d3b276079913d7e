"""Terms of one attempt at a backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.fleet import BackendServer


class ForwardingTerms(NamedTuple):
    """What a backend server is told beside the caller's request.

    Attributes
    ----------
    server : BackendServer
        The only server that may run the request.
    seconds_left : float or None
        Time that the caller still waits.
    customer : str or None
        Customer that the request runs for.
    priority : int or None
        Rank at an engine, 0 first.
    prefill_only : bool
        Whether the engine only reads the prompt.
    source : tuple or None
        Address and handle of the KV cache that an engine of the prefill stage keeps.
    fetch_from : tuple or None
        Address of an engine that keeps leading parts of the prompt.
    last_event : int or None
        Event that a continued stream goes on after; None leaves the caller's.
    """

    server: BackendServer
    seconds_left: float | None = None
    customer: str | None = None
    priority: int | None = None
    prefill_only: bool = False
    source: tuple[tuple[str, int], str] | None = None
    fetch_from: tuple[str, int] | None = None
    last_event: int | None = None
