"""HTTP/1.1 as the stand-ins of the review speak it."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

REASONS = {200: "OK", 202: "Accepted", 410: "Gone", 412: "Precondition Failed"}


class Request(NamedTuple):
    """A request that a stand-in has received; header names are in lower case."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes


class Answer(NamedTuple):
    """What a caller has received in answer to a request.

    Attributes
    ----------
    status : int
        0 if no answer came.
    complete : bool
        Whether the framing of the answer says that it is whole.
    seconds : float
        Time until the end of the answer.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool
    seconds: float


async def read_headers(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers of a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunks(reader: asyncio.StreamReader, parts: list[bytes]) -> None:
    """Append the chunks of a body up to and with its last one."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        parts.append(data[:-2])


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request of a connection, None at its end."""
    try:
        first, headers = await read_headers(reader)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    method, target, _ = first.split(" ", 2)
    path, _, query = target.partition("?")
    parts: list[bytes] = []
    if "chunked" in headers.get("transfer-encoding", ""):
        await read_chunks(reader, parts)
    else:
        parts.append(await reader.readexactly(int(headers.get("content-length", 0))))
    return Request(method, path, query, headers, b"".join(parts))


def encode_answer(
    status: int, body: bytes = b"", headers: dict[str, str] | None = None
) -> bytes:
    """Return an answer with a length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def call(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout: float = 10.0,
) -> Answer:
    """Send a request on a new connection and read its answer to the end."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    state = Answer(0, {}, b"", False, 0.0)
    parts: list[bytes] = []
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            lines.append(f"Content-Length: {len(body)}")
            head = "\r\n".join([*lines, "", ""]).encode("latin-1")
            writer.write(head + body)
            first, found = await read_headers(reader)
            state = state._replace(status=int(first.split(" ")[1]), headers=found)
            if "chunked" in found.get("transfer-encoding", ""):
                await read_chunks(reader, parts)
            else:
                size = int(found["content-length"])
                parts.append(await reader.readexactly(size))
            state = state._replace(complete=True)
    except (OSError, EOFError, TimeoutError, KeyError, ValueError):
        # What has come so far is the answer; it is not complete.
        pass
    finally:
        if writer is not None:
            writer.transport.abort()
    return state._replace(body=b"".join(parts), seconds=loop.time() - started)
