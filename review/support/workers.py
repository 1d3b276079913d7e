"""Worker processes, and their entries in the store."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time
from typing import TYPE_CHECKING, Any

from review.support.gateways import ROOT

if TYPE_CHECKING:
    from review.support.platform import Platform

CHECK_IN_SECONDS = 1.2
# An entry is removed after three check-ins of silence.
REMOVED_AFTER_SECONDS = 3 * CHECK_IN_SECONDS


class WorkerProcess:
    """One worker process; it checks in at the store while it runs."""

    def __init__(self, platform: Platform, name: str, service: str, zone: str) -> None:
        self.name = name
        self.lines: list[dict[str, Any]] = []
        self.process: asyncio.subprocess.Process | None = None
        self._platform = platform
        self._service, self._zone = service, zone
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self, *arguments: str, stage: str = "") -> None:
        """Start the process and its check-ins."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "review.support.worker",
            "--name",
            self.name,
            *arguments,
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
            stdout=asyncio.subprocess.PIPE,
        )
        first = json.loads(await self.process.stdout.readline())
        entry = {
            "service": self._service,
            "address": f"127.0.0.1:{first['port']}",
            "zone": self._zone,
            "version": "v1",
            "slots": 64 if stage else 6,
            "state": "ready",
            "cold_left_ms": 0,
            "born": int(time.time() * 1000),
        }
        if stage:
            entry["stage"] = stage
            entry["models"] = [{"name": "m", "version": 1, "loras": []}]
        self._tasks.append(asyncio.create_task(self._read_lines()))
        self._tasks.append(asyncio.create_task(self._check_in(entry)))

    def kill(self) -> None:
        """Kill the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()

    async def end(self) -> None:
        """Kill the process and stop its check-ins."""
        for task in self._tasks:
            task.cancel()
        self.kill()
        if self.process is not None:
            await self.process.wait()

    async def _read_lines(self) -> None:
        while line := await self.process.stdout.readline():
            self.lines.append(json.loads(line))

    async def _check_in(self, entry: dict[str, Any]) -> None:
        number = 0
        while self.process.returncode is None:
            number += 1
            self._platform.put("keyed.servers", self.name, {**entry, "seq": number})
            await asyncio.sleep(CHECK_IN_SECONDS)
        await asyncio.sleep(REMOVED_AFTER_SECONDS)
        self._platform.put("keyed.servers", self.name, None)
