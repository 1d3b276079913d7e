"""Mesh message: work of a gateway and what it learnt."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.messages._registry import register_message


@register_message(name="GatewayNews")
class GatewayUpdate(NamedTuple):
    """Sent several times a second to the relays of the sender's data centre.

    Attributes
    ----------
    ready : bool
        Whether callers shall use the sender.
    work : tuple
        Rows of backend server, waiting prompt tokens and streams of the sender.
    parts : tuple
        Rows of backend server, prompt part and tokens that the sender sent there since
        the last message.
    away : tuple
        Rows of backend server and seconds for which it takes no requests, because the
        sender has ordered a change.
    results : tuple
        Rows of backend server, failures, answers and VM since the last message, for
        servers that failed lately.
    incarnation : str
        Process that sends the message.
    uptime : float
        Seconds since that process started.
    usage : tuple
        Rows of usage window, customer and requests that the sender began, about once
        a second.
    sequence : int
        Number of the message; relays name it in their answers.
    """

    ready: bool
    work: tuple = ()
    parts: tuple = ()
    away: tuple = ()
    results: tuple = ()
    incarnation: str = ""
    uptime: float = 0.0
    usage: tuple = ()
    sequence: int = 0
