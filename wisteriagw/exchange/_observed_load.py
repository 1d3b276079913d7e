"""Load report of an engine as an entry VM reads it."""

from __future__ import annotations

from typing import Any, NamedTuple

from wisteriagw.exchange._work_rows import is_figure
from wisteriagw.routing import LoadReport


class ObservedLoad(NamedTuple):
    """Report with its time on the own clock, and whether the engine is leaving."""

    report: LoadReport
    leaving: bool


def observe_load(
    backend_server: str, fields: dict[str, Any], asked_at: float
) -> ObservedLoad | None:
    """Return the report in an engine's answer, or None if it holds none.

    The clocks of the engine and of this VM have nothing in common. The age of the
    figures is taken from the engine's clock, and the answer is dated at the time of the
    question, so that the figures never seem newer than they are.

    Parameters
    ----------
    backend_server : str
        Name of the engine.
    fields : dict
        Its answer.
    asked_at : float
        Own time at which the question was sent.
    """
    names = ("running", "waiting", "queued_prefill_tokens", "as_of", "sent_at")
    if not all(is_figure(fields.get(name)) for name in names):
        return None
    age = max(0.0, fields["sent_at"] - fields["as_of"])
    streams = max(0, int(fields["running"] + fields["waiting"]))
    tokens = max(0.0, float(fields["queued_prefill_tokens"]))
    report = LoadReport(backend_server, asked_at - age, tokens, streams)
    return ObservedLoad(report, fields.get("leaving") is True)
