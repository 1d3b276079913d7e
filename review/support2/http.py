"""Small HTTP/1.1 server and client on asyncio, for stand-ins."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from typing import NamedTuple

REASONS = {
    200: "OK",
    202: "Accepted",
    404: "Not Found",
    410: "Gone",
    412: "Precondition Failed",
    421: "Misdirected Request",
    503: "Service Unavailable",
}


class Request(NamedTuple):
    """A received request; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request of a connection, or None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


def encode_response(
    status: int, body: bytes = b"", headers: tuple[tuple[str, str], ...] = ()
) -> bytes:
    """Return a complete response."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Answer(NamedTuple):
    """Response that a client received."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Return the response on a connection; status 0 if there was no head."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return Answer(0, {}, b"", False)
    first, *lines = head.decode("latin-1").split("\r\n")
    status = int(first.split(" ")[1])
    headers = {}
    for line in lines:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if headers.get("transfer-encoding") == "chunked":
            while True:
                size = int(await reader.readuntil(b"\r\n"), 16)
                body += await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    return Answer(status, headers, body, True)
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return Answer(status, headers, body, False)
    return Answer(status, headers, body, True)


async def send_request(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: tuple[tuple[str, str], ...],
    body: bytes = b"",
    timeout: float = 10.0,
) -> Answer:
    """Send a request on a new connection and return the answer; status 0 if none."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers]
            if body or method != "GET":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            return await read_answer(reader)
    except (OSError, TimeoutError):
        return Answer(0, {}, b"", False)
    finally:
        if writer is not None:
            writer.close()
