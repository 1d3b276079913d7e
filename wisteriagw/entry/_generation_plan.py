"""Generation that a caller requested."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.entry._chat_request import ChatRequest


class GenerationPlan(NamedTuple):
    """A generation, independent of the engine that runs it.

    Attributes
    ----------
    request_id, customer : str
        Id of the request and its customer.
    chat : ChatRequest or None
        The caller's request; None for a stream that was resumed by its id, which can
        only be read from the engine that generates it.
    deadline : float
        Time by which the first token must have arrived.
    """

    request_id: str
    customer: str
    chat: ChatRequest | None
    deadline: float
