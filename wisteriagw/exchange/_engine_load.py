"""Parsing of the load that an engine reports to an entry VM."""

from __future__ import annotations

from typing import Any, NamedTuple

from wisteriagw.exchange._work_rows import is_finite_number
from wisteriagw.routing import LoadReport


class EngineLoad(NamedTuple):
    """Report dated on the clock of this VM, and whether the engine is leaving."""

    report: LoadReport
    leaving: bool


def parse_engine_load(
    backend_server: str, fields: dict[str, Any], requested_at: float
) -> EngineLoad | None:
    """Return the load in an engine's response, or None if it is not valid.

    The clocks of the engine and of this VM are not synchronized. The age of the figures
    is taken from the engine's clock, and the response is dated at the time of the
    request, so that the figures never appear newer than they are.

    Parameters
    ----------
    backend_server : str
        Name of the engine.
    fields : dict
        JSON object of the response.
    requested_at : float
        Time of this VM at which the request was sent.
    """
    names = ("running", "waiting", "queued_prefill_tokens", "as_of", "sent_at")
    if not all(is_finite_number(fields.get(name)) for name in names):
        return None
    age = max(0.0, fields["sent_at"] - fields["as_of"])
    streams = max(0, int(fields["running"] + fields["waiting"]))
    tokens = max(0.0, float(fields["queued_prefill_tokens"]))
    report = LoadReport(backend_server, requested_at - age, tokens, streams)
    return EngineLoad(report, fields.get("leaving") is True)
