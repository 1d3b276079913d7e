"""Parameters of one attempt at a backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.fleet import BackendServer


class ForwardingTerms(NamedTuple):
    """Parameters sent to a backend server along with the caller's request.

    Attributes
    ----------
    server : BackendServer
        Server that runs the request; no other server may.
    seconds_left : float or None
        Time until the caller's deadline.
    customer : str or None
        Customer who sent the request.
    priority : int or None
        Priority at the engine; 0 is the highest.
    prefill_only : bool
        Whether the engine runs only the prefill.
    source : tuple or None
        Address of the engine that keeps KV cache for the run, and its handle: that of
        a prefill, or the request's id for the copy of a run that was lost.
    fetch_from : tuple or None
        Address of an engine that keeps leading parts of the prompt.
    backup : tuple or None
        Address of an engine to which the run's KV cache is copied as it grows.
    last_event : int or None
        Id of the event after which a stream resumes; None keeps the caller's header.
    """

    server: BackendServer
    seconds_left: float | None = None
    customer: str | None = None
    priority: int | None = None
    prefill_only: bool = False
    source: tuple[tuple[str, int], str] | None = None
    fetch_from: tuple[str, int] | None = None
    backup: tuple[str, int] | None = None
    last_event: int | None = None
