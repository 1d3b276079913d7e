"""Notice that a backend server is leaving."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.eras import StorePosition


class Departure(NamedTuple):
    """A server accepts no new work, or is gone.

    Attributes
    ----------
    server : str
        Backend server.
    born : int
        Start time of its process.
    position : StorePosition
        Position in the register of the entry or removal that says so; an entry after
        it is valid again. ``FOREVER`` if the server said so itself.
    """

    server: str
    born: int
    position: StorePosition
