"""A worker: a program that serves calls and streams and tells what it ran.

It writes one JSON line for each thing that it does, with the time of the monotonic
clock, which all processes of a machine share.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import socket
import struct
import time
from typing import TYPE_CHECKING

from review.support.wire import call, encode_answer, read_request

if TYPE_CHECKING:
    from review.support.wire import Request

CALL_SECONDS = 0.045
# A line of an event in a chunk of its own.
ENDLESS_LINE = b"8\r\ndata: a\n\r\n"
LINES_PER_WRITE = 1000
# Between the workers of the scripts only; the pages do not show how a copy is sent.
COPY_PATH = "/copy-of-a-run"
# "several times per second": the first copy is there after two events of 0.1 s.
COPIED_AFTER = 2
NOT_EXECUTED = {"X-Wisteriagw-Not-Executed": "1"}
# A close with this option resets the channel.
RESET = struct.pack("ii", 1, 0)


class Worker:
    """Runs requests one at a time on each channel, many channels at once."""

    def __init__(self, options: argparse.Namespace) -> None:
        self._options = options
        self._resets_left = options.resets
        self._copies: set[str] = set()
        self._endless_left = options.endless

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a channel until it is closed."""
        try:
            while True:
                request = await read_request(reader)
                if request is None or not await self._answer(request, writer):
                    break
        except (OSError, EOFError):
            # The caller has gone.
            pass
        finally:
            writer.close()

    async def _answer(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Answer a request; return whether the channel is kept."""
        headers, name = request.headers, self._options.name
        request_id = headers.get("x-wisteriagw-request-id", "")
        if request.path == COPY_PATH:
            self._copies.add(request_id)
            writer.write(encode_answer(200))
            return True
        if request.path in ("/health", "/report", "/order", "/kv-list"):
            self._tell("call", request_id, path=request.path)
            body = b'{"held":[],"epoch":1,"next_token":0}'
            writer.write(encode_answer(200, body, {"X-Wisteriagw-Instance-Id": name}))
            return True
        echo = {"X-Wisteriagw-Request-Id": request_id}
        if headers.get("x-wisteriagw-expect-instance") != name:
            writer.write(encode_answer(421, b"", echo))
            return True
        echo["X-Wisteriagw-Server-Stamp"] = f"{name}.{request_id}"
        if headers.get("x-wisteriagw-model"):
            return await self._stream(request, writer, echo)
        self._tell("begins", request_id, body=request.body.decode("latin-1"))
        await asyncio.sleep(CALL_SECONDS)
        self._tell("ends", request_id)
        writer.write(encode_answer(200, f"done {request_id}".encode(), echo))
        return True

    async def _stream(
        self, request: Request, writer: asyncio.StreamWriter, echo: dict[str, str]
    ) -> bool:
        """Write the events of a stream; return whether the channel is kept."""
        options, headers = self._options, request.headers
        request_id = headers["x-wisteriagw-request-id"]
        first = int(headers.get("last-event-id", 0)) + 1
        source = headers.get("x-wisteriagw-kv-source", "")
        if source and request_id not in self._copies:
            self._tell("refuses, no copy", request_id)
            writer.write(encode_answer(503, b"", {**echo, **NOT_EXECUTED}))
            return True
        backup = headers.get("x-wisteriagw-kv-backup", "")
        self._tell("begins", request_id, first=first, source=source)
        chunked = not options.unframed
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{key}: {value}" for key, value in echo.items()]
        lines.append("Transfer-Encoding: chunked" if chunked else "Connection: close")
        writer.write("\r\n".join([*lines, "", ""]).encode())
        if self._endless_left:
            self._endless_left -= 1
            return await self._write_endless(writer, request_id)
        lost = False
        for number in range(first, options.events + 1):
            await asyncio.sleep(options.gap)
            event = f"id: {number}\ndata: {request_id}\n\n".encode()
            self._tell("event", request_id, number=number, channel=not lost)
            if backup and number == COPIED_AFTER:
                await self._copy(backup, request_id)
            if lost:
                continue
            data = b"%x\r\n%b\r\n" % (len(event), event) if chunked else event
            writer.write(data)
            if self._resets_left and number == options.reset_after:
                # The answer is lost; the run goes on.
                self._resets_left -= 1
                lost = True
                self._reset(writer)
        self._tell("ends", request_id)
        if lost:
            return False
        if chunked:
            writer.write(b"0\r\n\r\n")
        return chunked

    async def _copy(self, backup: str, request_id: str) -> None:
        """Send the memory of a run to the worker that keeps its copy."""
        host, _, port = backup.rpartition(":")
        headers = {"Host": backup, "X-Wisteriagw-Request-Id": request_id}
        await call((host, int(port)), "POST", COPY_PATH, headers, timeout=1.0)

    async def _write_endless(
        self, writer: asyncio.StreamWriter, request_id: str
    ) -> bool:
        """Write lines of an event that never ends, until the caller closes."""
        started = time.monotonic()
        try:
            while True:
                writer.write(ENDLESS_LINE * LINES_PER_WRITE)
                await writer.drain()
        finally:
            seconds = round(time.monotonic() - started, 3)
            self._tell("closed by the caller", request_id, seconds=seconds)

    def _reset(self, writer: asyncio.StreamWriter) -> None:
        connection = writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        writer.transport.abort()

    def _tell(self, what: str, request_id: str, **details: object) -> None:
        line = {
            "at": round(time.monotonic(), 4),
            "worker": self._options.name,
            "what": what,
            "request": request_id,
            **details,
        }
        print(json.dumps(line), flush=True)


async def run(options: argparse.Namespace) -> None:
    """Serve until the process is killed."""
    server = await asyncio.start_server(Worker(options).serve, options.host, 0)
    print(json.dumps({"port": server.sockets[0].getsockname()[1]}), flush=True)
    async with server:
        await server.serve_forever()


def main() -> None:
    """Run a worker."""
    parser = argparse.ArgumentParser(description="A worker of the review's scripts.")
    parser.add_argument("--name", required=True)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--events", type=int, default=8)
    parser.add_argument("--gap", type=float, default=0.1, help="Seconds to an event.")
    parser.add_argument(
        "--unframed", action="store_true", help="Streams have no length or chunks."
    )
    parser.add_argument(
        "--endless", type=int, default=0, help="Streams of bytes without end."
    )
    parser.add_argument(
        "--resets", type=int, default=0, help="Streams whose channel is reset."
    )
    parser.add_argument(
        "--reset-after", type=int, default=3, help="Events before the reset."
    )
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
