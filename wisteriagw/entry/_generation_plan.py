"""What a caller asked to be generated."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.entry._chat_request import ChatRequest


class GenerationPlan(NamedTuple):
    """A generation, wherever it runs.

    Attributes
    ----------
    request_id, customer : str
        Identity of the request and whose it is.
    chat : ChatRequest or None
        What the caller asked for; None for a stream that was resumed by its id, which
        can only be read where it is generated.
    deadline : float
        Time by which the first token must have come.
    """

    request_id: str
    customer: str
    chat: ChatRequest | None
    deadline: float
