"""Proxy whose open connections can fall silent."""

from __future__ import annotations

import asyncio
import contextlib


class Proxy:
    """Forwards connections to an address.

    ``silence`` makes the connections that are open pass nothing any more, in either
    direction and without a reset; connections that are opened later work.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self._target = target
        self._silent_before = 0
        self._opened = 0

    async def start(self, host: str) -> tuple[str, int]:
        """Listen on a free port, and return the address."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        return self._server.sockets[0].getsockname()[:2]

    def silence(self) -> int:
        """Make all open connections silent; return how many were ever opened."""
        self._silent_before = self._opened
        return self._opened

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number = self._opened
        self._opened += 1
        try:
            upstream = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(
                self._forward(number, reader, upstream[1]),
                self._forward(number, upstream[0], writer),
            )

    async def _forward(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65_536):
                if number < self._silent_before:
                    await asyncio.Event().wait()
                writer.write(data)
                await writer.drain()
        if number < self._silent_before:
            await asyncio.Event().wait()
        writer.close()
