"""A process does not end after SIGTERM while the store does not answer."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import time
from pathlib import Path

from review.support.case import Case
from review.support.dark_address import DarkAddress

# Bound of the site: "grace_s 8"; the wait is three times as long.
GRACE_SECONDS = 8.0
MAX_SECONDS = 3 * GRACE_SECONDS
RUNNING_SECONDS = 3.0


async def main() -> int:
    """Stop one gateway; return the exit status of the script."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    dark = DarkAddress()
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        case = Case(Path(folder), ["suva-central"])
        await case.platform.start("127.0.0.1")
        if trouble:
            case.platform.address = dark.address
        machine = case.gateways.machines[0]
        try:
            await case.gateways.start(machine)
            await asyncio.sleep(RUNNING_SECONDS)
            stopped_at = time.monotonic()
            machine.kill(signal.SIGTERM)
            try:
                await asyncio.wait_for(machine.process.wait(), MAX_SECONDS)
            except TimeoutError:
                print(f"SIGTERM: the process still runs {MAX_SECONDS:.0f} s later")
                return 1
            seconds = time.monotonic() - stopped_at
            print(f"SIGTERM: the process ended by itself after {seconds:.2f} s")
            return int(seconds > GRACE_SECONDS)
        finally:
            await case.close()
            dark.close()


if __name__ == "__main__":
    try:
        status = asyncio.run(main())
    except Exception as error:
        print(f"the case could not run: {error!r}")
        status = 2
    sys.exit(status)
