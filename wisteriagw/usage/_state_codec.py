"""Conversion of the usage state to lists and maps, for checkpoints."""

from __future__ import annotations

from typing import Any

from wisteriagw.usage._counted_partials import CountedPartials
from wisteriagw.usage._counted_request import CountedRequest
from wisteriagw.usage._usage_figures import UsageFigures
from wisteriagw.usage._usage_key import UsageKey
from wisteriagw.usage._usage_state import UsageState


def encode_usage_state(state: UsageState) -> dict[str, Any]:
    """Return the state in lists and maps."""
    return {
        "revision": state.revision,
        "sealed_window": state.sealed_window,
        "totals": [[*key, *figures] for key, figures in state.totals.items()],
        "requests": [
            [request_id, counted.window, *counted.figures]
            for request_id, counted in state.requests.items()
        ],
        "seen": [
            [*process, counted.next_seq, sorted(counted.out_of_order)]
            for process, counted in state.partials.items()
        ],
        "recorded": [[window, rows] for window, rows in state.recorded.items()],
        "reported": [
            [window, sorted(customers)] for window, customers in state.reported.items()
        ],
    }


def decode_usage_state(plain: dict[str, Any]) -> UsageState:
    """Return the state from its lists and maps."""
    return UsageState(
        revision=plain["revision"],
        sealed_window=plain["sealed_window"],
        totals={UsageKey(*row[:3]): UsageFigures(*row[3:]) for row in plain["totals"]},
        requests={
            row[0]: CountedRequest(UsageFigures(*row[2:]), row[1])
            for row in plain["requests"]
        },
        partials={
            (vm, incarnation): CountedPartials(next_seq, frozenset(out_of_order))
            for vm, incarnation, next_seq, out_of_order in plain["seen"]
        },
        recorded={window: rows for window, rows in plain["recorded"]},
        reported={window: set(customers) for window, customers in plain["reported"]},
    )
