"""One VM of a simulated mesh."""

from __future__ import annotations

from typing import Any, NamedTuple

from tests.support._memory_log import MemoryLog
from wisteriagw.config import CONFIG_CODEC, apply_record, build_empty_config
from wisteriagw.follower import RecordHistory, StreamFollower
from wisteriagw.membership import Membership, build_membership


class SimulatedVm(NamedTuple):
    """Running process with its own clock and its own log client."""

    membership: Membership
    log: MemoryLog
    inbox: list[tuple[str, Any]]


def start_vm(
    name: str, data_centre: str, store: Any, clock: Any, send: Any, incarnation: int
) -> SimulatedVm:
    """Return a process that has received and read nothing yet."""
    log = MemoryLog()
    log.store = store
    history = RecordHistory(1_000_000)
    follower = StreamFollower(
        log,
        "config",
        build_empty_config(),
        apply_record,
        clock,
        CONFIG_CODEC,
        history=history,
    )
    now = clock()
    state = build_membership(name, data_centre, "127.0.0.1", incarnation, now)
    return SimulatedVm(Membership(state, follower, history, clock, send), log, [])
