"""Place at which a run can go on."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.fleet import BackendServer


class RunCopy(NamedTuple):
    """KV cache of a run that has ended at its engine.

    Attributes
    ----------
    server : BackendServer
        Engine at which the run can go on.
    source : tuple
        Address of the engine that keeps the KV cache, and its handle there.
    """

    server: BackendServer
    source: tuple[tuple[str, int], str]
