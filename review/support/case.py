"""Frame of a script: set-up, record, verdict and clean-up."""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
import time
import traceback
from pathlib import Path
from typing import TYPE_CHECKING

from review.support.gateways import Gateways
from review.support.operator import HOST, KEYS
from review.support.platform import Platform
from review.support.wire import call
from review.support.workers import WorkerProcess

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from typing import Any

    from review.support.wire import Answer

HELD, BROKEN, NOT_RUN = 0, 1, 2
MAX_SECONDS = 110.0


class CaseError(Exception):
    """The case could not be run as it is meant."""


class Case:
    """A deployment of a few machines, and the record of what was seen.

    Attributes
    ----------
    trouble : bool
        Whether the disruption is made.
    """

    def __init__(self, folder: Path, zones: list[str], keep_s: float = 300) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.platform = Platform(keep_s)
        self.workers: list[WorkerProcess] = []
        self.gateways = Gateways(folder, self.platform, zones, keep_s)
        self._record: list[str] = []
        self._started = time.monotonic()
        self._sent = 0

    def write(self, text: str) -> None:
        """Add a line with the time since the start to the record."""
        self._record.append(f"{time.monotonic() - self._started:8.3f} {text}")

    def write_at(self, at: float, text: str) -> None:
        """Add a line with another time of the monotonic clock."""
        self._record.append(f"{at - self._started:8.3f} {text}")

    def get_record(self) -> str:
        """Return the record in the order of time."""
        return "\n".join(sorted(self._record)) + "\n"

    async def start_worker(
        self, name: str, service: str, zone: str, *arguments: str, stage: str = ""
    ) -> WorkerProcess:
        """Start a worker process."""
        worker = WorkerProcess(self.platform, name, service, zone)
        self.workers.append(worker)
        await worker.start(*arguments, stage=stage)
        return worker

    async def send(
        self,
        front: tuple[str, int],
        path: str,
        tenant: str,
        deadline_ms: int,
        headers: dict[str, str] | None = None,
        body: bytes = b"body",
    ) -> tuple[str, Answer]:
        """Send a request of a consumer; return its id and the answer."""
        self._sent += 1
        request_id = f"{self._sent:016x}"
        sent = {
            "Host": HOST,
            "X-Wisteriagw-Request-Id": request_id,
            "X-Wisteriagw-Deadline-Ms": str(deadline_ms),
            "Authorization": f"Token {KEYS[tenant]}",
            **(headers or {}),
        }
        timeout = deadline_ms / 1000 + 1.0
        answer = await call(front, "POST", path, sent, body, timeout)
        return request_id, answer

    async def close(self) -> None:
        """End all processes."""
        await self.gateways.end_all()
        for worker in self.workers:
            await worker.end()


def run_case(
    file: str,
    zones: list[str],
    play: Callable[[Case], Coroutine[Any, Any, bool]],
    keep_s: float = 300,
) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if not run.

    Parameters
    ----------
    file : str
        File of the case; its folder gets the record.
    zones : list of str
        Zone of each machine.
    play : callable
        Plays the case and returns whether the rule was broken.
    keep_s : float
        Seconds for which the store keeps a record.
    """
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        status, record = asyncio.run(_run(Path(folder), zones, play, keep_s))
        for log in sorted(Path(folder).glob("*.log")):
            count = log.read_text("utf-8", "replace").count("Traceback")
            if count:
                record += f"{log.name} shows {count} tracebacks\n"
    Path(file).with_name("record.txt").write_text(record, "utf-8")
    sys.stdout.write(record)
    sys.exit(status)


async def _run(
    folder: Path,
    zones: list[str],
    play: Callable[[Case], Coroutine[Any, Any, bool]],
    keep_s: float,
) -> tuple[int, str]:
    case = Case(folder, zones, keep_s)
    case.write("with the disruption" if case.trouble else "without the disruption")
    status = NOT_RUN
    try:
        async with asyncio.timeout(MAX_SECONDS):
            await case.platform.start("127.0.0.1")
            broken = await play(case)
        status = BROKEN if broken else HELD
        case.write("the rule was BROKEN" if broken else "the rule held")
    except Exception:
        case.write(f"the case could not run: {traceback.format_exc()}")
    finally:
        await case.close()
    return status, case.get_record()
