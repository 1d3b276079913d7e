"""Decoded headers of a caller's request."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.placement import Prompt


class CallerRequest(NamedTuple):
    """Decoded request line and headers of a caller's request.

    Attributes
    ----------
    request_id : str
        Id of the request; a caller that retries uses a new one.
    host, path : str
        Host and path, which select the route.
    key : str or None
        Key of the customer.
    timeout : float or None
        Seconds for which the caller waits for the response.
    prompt : Prompt or None
        None unless the request is for a model.
    last_event : int or None
        Id of the last event received, if the caller resumes a stream.
    tokens : int or None
        Prompt tokens and bound on generated tokens; None if the request states none.
    """

    request_id: str
    host: str
    path: str
    key: str | None
    timeout: float | None
    prompt: Prompt | None
    last_event: int | None
    tokens: int | None = None
