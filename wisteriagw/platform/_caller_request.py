"""Request of a caller."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.placement import Prompt


class CallerRequest(NamedTuple):
    """What a caller's request says besides its body.

    Attributes
    ----------
    request_id : str
        Id of the request; each attempt of a caller has its own.
    host, path : str
        What selects the route.
    key : str or None
        Key of the customer.
    patience : float or None
        Seconds that the caller waits.
    prompt : Prompt or None
        None unless the request is for a model.
    last_event : int or None
        Event that a continued stream goes on after.
    """

    request_id: str
    host: str
    path: str
    key: str | None
    patience: float | None
    prompt: Prompt | None
    last_event: int | None
