"""Snapshot of the registered backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.fleet._backend_server import BackendServer


class Fleet(NamedTuple):
    """Entries by name, as of an offset of the register.

    Attributes
    ----------
    servers : dict of str to BackendServer
        Valid entries.
    next_offset : int
        Offset of the first record that has not been read.
    """

    servers: dict[str, BackendServer]
    next_offset: int = 0

    def list_service(self, service: str) -> list[BackendServer]:
        """Return the servers of a service that accept new work."""
        return [
            server
            for server in self.servers.values()
            if server.service == service and not server.leaving
        ]
