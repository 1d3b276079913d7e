"""Engine that ends when it begins an answer on a prompt part, and starts again."""

from __future__ import annotations

import contextlib
import socket
import threading
import time

from features.steps._faulty_server import read_head

RESTART_SECONDS = 1.0
HEAD = (
    b"HTTP/1.1 200 OK\r\n%b"
    b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)
EVENT = b"id: 1\ndata: t\n\n"


class CrashingEngine:
    """Serves each connection on a thread of its own.

    Attributes
    ----------
    address : str
        ``IP:PORT``, the same after each start.
    crashed_at : list of float
        Times at which it has ended, in seconds.
    """

    def __init__(self, bad_part: bytes, on_start) -> None:
        self.crashed_at: list[float] = []
        self._bad_part = bad_part
        self._on_start = on_start
        self._closing = False
        self._connections: set[socket.socket] = set()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._run(self._listener)
        on_start(self)

    def close(self) -> None:
        """End the engine for good."""
        self._closing = True
        self._end()

    def _run(self, listener: socket.socket) -> None:
        threading.Thread(target=self._accept, args=(listener,), daemon=True).start()

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            self._connections.add(connection)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while True:
                request = read_head(connection)
                if request is None:
                    break
                lines, headers = request
                connection.sendall(HEAD % headers)
                if any(self._bad_part in line for line in lines):
                    self._crash()
                    return
                connection.sendall(b"%x\r\n%b\r\n0\r\n\r\n" % (len(EVENT), EVENT))

    def _crash(self) -> None:
        self.crashed_at.append(time.monotonic())
        self._end()
        time.sleep(RESTART_SECONDS)
        if self._closing:
            return
        host, port = self.address.split(":")
        self._listener = socket.create_server((host, int(port)))
        self._run(self._listener)
        self._on_start(self)

    def _end(self) -> None:
        # Closing alone would let a waiting accept take one more connection.
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        connections, self._connections = self._connections, set()
        for connection in connections:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
            connection.close()
