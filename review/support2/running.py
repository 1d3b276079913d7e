"""Start of a case, and its exit status whatever happens."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from typing import Any

HELD, BROKEN, NOT_RUN = 0, 1, 2
MAX_SECONDS = 110.0


def run_case(build: Any) -> int:
    """Play a case and return its exit status.

    The processes that it started are ended in any case, also after a signal.

    Parameters
    ----------
    build : callable
        ``build(trouble)`` returns the case, with the coroutine function ``run`` and the
        function ``close``.
    """
    case = build(os.environ.get("TROUBLE", "1") != "0")
    signal.signal(signal.SIGTERM, _end)
    try:
        return asyncio.run(asyncio.wait_for(case.run(), MAX_SECONDS))
    except Exception as error:
        # A script that fails must not look like a rule that was broken.
        print(f"the case could not run: {error!r}", file=sys.stderr)
        return NOT_RUN
    finally:
        case.close()


def _end(number: int, frame: Any) -> None:
    sys.exit(NOT_RUN)
