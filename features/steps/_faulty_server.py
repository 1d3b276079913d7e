"""Backend server that breaks the protocol in the way its request's path says."""

from __future__ import annotations

import socket
import struct
import threading
import time

CHUNK = b"x" * 65_536
CHUNKED = b"Transfer-Encoding: chunked\r\n"
PAUSE_SECONDS = 0.05
# Sending ends by itself if the gateway does not close the connection.
SEND_SECONDS = 10.0
ENDLESS = {
    "a body": (b"HTTP/1.1 200 OK\r\n%b\r\n", CHUNK),
    "a header line": (b"HTTP/1.1 200 OK\r\n%bX-A: ", CHUNK),
    "header lines": (b"HTTP/1.1 200 OK\r\n%b", b"X-A: b\r\n" * 1_000),
    "1xx responses": (b"", b"HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n" * 100),
    "a chunk extension": (b"HTTP/1.1 200 OK\r\n%b" + CHUNKED + b"\r\n4;", CHUNK),
    "trailers": (b"HTTP/1.1 200 OK\r\n%b" + CHUNKED + b"\r\n0\r\nX-A: ", CHUNK),
    "a longer body": (b"HTTP/1.1 200 OK\r\n%bContent-Length: 9\r\n\r\n", CHUNK),
}


class FaultyServer:
    """Serves each connection on a thread of its own.

    Attributes
    ----------
    address : str
        ``IP:PORT``.
    closed_by_peer : bool
        Whether the gateway closed the connection of the last endless answer.
    """

    def __init__(self) -> None:
        self.closed_by_peer = False
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._start(self._accept)

    def close(self) -> None:
        """Stop accepting connections."""
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self._start(self._serve, connection)

    def _start(self, function, *arguments) -> None:
        threading.Thread(target=function, args=arguments, daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        late = b""
        with connection:
            while True:
                request = read_request(connection)
                if request is None:
                    return
                connection.sendall(late)
                late = self._answer(connection, *request)
                if late is None:
                    return

    def _answer(self, connection, fault: str, headers: bytes, body: bytes):
        """Answer a request; return what to send before the next answer, or None."""
        whole = b"HTTP/1.1 200 OK\r\n%bContent-Length: %d\r\n\r\n%b"
        answer = whole % (headers, len(body), body)
        if fault in ENDLESS:
            self._send_endless(connection, *ENDLESS[fault], headers)
            return None
        if fault == "shorter than said":
            connection.sendall(whole % (headers, len(body) + 9, body))
            return None
        if fault == "without last chunk":
            head = b"HTTP/1.1 200 OK\r\n" + headers + CHUNKED
            connection.sendall(head + b"\r\n%x\r\n%b\r\n" % (len(body), body))
            return None
        if fault == "reset":
            connection.sendall(b"HTTP/1.1 200 OK\r\n" + headers + b"\r\n" + body)
            time.sleep(PAUSE_SECONDS)
            linger = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            return None
        if fault == "after a 1xx":
            connection.sendall(b"HTTP/1.1 103 Early Hints\r\n\r\n")
        connection.sendall(answer)
        if fault == "before the next":
            return answer
        if fault == "after a pause":
            time.sleep(PAUSE_SECONDS)
            connection.sendall(answer)
        if fault == "in two parts":
            middle = len(answer) // 2
            connection.sendall(answer[:middle])
            return answer[middle:]
        if fault == "after a 1xx":
            return b"HTTP/1.1 103 Early Hints\r\n\r\n" + answer
        return b""

    def _send_endless(self, connection, head: bytes, part: bytes, headers) -> None:
        self.closed_by_peer = False
        deadline = time.monotonic() + SEND_SECONDS
        try:
            connection.sendall(head % headers if b"%b" in head else head)
            while time.monotonic() < deadline:
                connection.sendall(part)
        except OSError:
            self.closed_by_peer = True


def read_request(connection: socket.socket):
    """Return the fault, the headers of a genuine answer and its body, or None."""
    request = read_head(connection)
    if request is None:
        return None
    lines, headers = request
    path = lines[0].split(b" ")[1].decode()
    fault = path.rpartition("/")[2].replace("_", " ")
    request_id = headers.split(b"\r\n")[0].partition(b": ")[2]
    return fault, headers, b"answer to " + request_id


def read_head(connection: socket.socket):
    """Read a request; return its lines and the headers of a genuine answer, or None."""
    data = b""
    while b"\r\n\r\n" not in data:
        try:
            received = connection.recv(65_536)
        except OSError:
            return None
        if not received:
            return None
        data += received
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    fields = dict(line.lower().split(b": ", 1) for line in lines[1:])
    while len(body) < int(fields.get(b"content-length", 0)):
        body += connection.recv(65_536)
    headers = b"X-Wisteriagw-Request-Id: %b\r\nX-Wisteriagw-Server-Stamp: s\r\n"
    return lines, headers % fields.get(b"x-wisteriagw-request-id", b"")
