"""An address that does not answer, like that of a machine without power."""

from __future__ import annotations

import socket


class DarkAddress:
    """Listens, but drops the packets that open channels: its queue is full."""

    def __init__(self, host: str = "127.0.0.1") -> None:
        self._server = socket.socket()
        self._server.bind((host, 0))
        self._server.listen(0)
        self.address = self._server.getsockname()
        self._queued = []
        for _ in range(4):
            client = socket.socket()
            client.setblocking(False)
            client.connect_ex(self.address)
            self._queued.append(client)

    def close(self) -> None:
        """Close all sockets."""
        for client in self._queued:
            client.close()
        self._server.close()
