"""Request as input of the routing decision."""

from __future__ import annotations

from typing import NamedTuple


class RouteRequest(NamedTuple):
    """A request to be placed on a backend server.

    Attributes
    ----------
    customer, serves : str
        Customer, and the requested model or service.
    prompt_tokens, max_tokens : int
        Size of the prompt and bound on the output.
    repeatable : bool
        Whether it may be interrupted and run again.
    excluded : tuple of str
        Backend servers that already failed this request.
    priority : int
        Requests of a higher priority are dispatched first within a customer.
    blocks : tuple of int
        Cumulative hashes of the complete prompt blocks.
    adapter : str
        Adapter or version that must be loaded; empty if none.
    """

    customer: str
    serves: str
    prompt_tokens: int = 0
    max_tokens: int = 0
    repeatable: bool = True
    excluded: tuple[str, ...] = ()
    priority: int = 0
    blocks: tuple[int, ...] = ()
    adapter: str = ""
