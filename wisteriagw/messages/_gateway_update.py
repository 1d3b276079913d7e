"""Mesh message: state update of a gateway."""

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
        Rows of backend server, waiting prompt tokens and streams of the sender. The
        urgent part of a server's work has a row of its own (``placement.WorkTable``).
    parts : tuple
        Rows of backend server, prompt part and tokens that the sender sent there since
        the last message.
    unavailable : tuple
        Rows of backend server and seconds for which it is sent no requests, because
        the sender has ordered a change.
    results : tuple
        Rows of backend server, failures, answers and VM since the last message, for
        servers that failed recently.
    incarnation : str
        Process that sends the message.
    uptime : float
        Seconds since that process started.
    usage : tuple
        Rows of usage window, customer and requests that the sender started, about once
        a second.
    sequence : int
        Number of the message; relays acknowledge it in their updates.
    configuration_version : int
        Version that the sender has in force; 0 if none.
    era : int
        Newest era of the store that the sender knows.
    sums : tuple
        Rows of table, key and numbers of the sender.
    closed_window : int
        Usage window that has ended, whose counts in ``usage`` are complete and which
        the receiver shall store; -1 if none.
    """

    ready: bool
    work: tuple = ()
    parts: tuple = ()
    unavailable: tuple = ()
    results: tuple = ()
    incarnation: str = ""
    uptime: float = 0.0
    usage: tuple = ()
    sequence: int = 0
    configuration_version: int = 0
    era: int = 0
    sums: tuple = ()
    closed_window: int = -1
