"""Mesh message: work of an entry VM."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.messages._registry import register_message


@register_message
class WorkReport(NamedTuple):
    """Sent to every peer once a second, with a bounded number of rows.

    Attributes
    ----------
    served : tuple
        Rows of model or service, customer and work served since the last message.
    loads : tuple
        Rows of backend server, queued prefill tokens and streams that the sender has
        outstanding there.
    reports : tuple
        Rows of backend server, reading of the sender's clock in milliseconds, queued
        prefill tokens and streams, from load reports that the sender has read.
    remote : tuple
        Rows as in ``served``, of other data centres; only a relay has any. They are
        not forwarded, because each pair of data centres has its own link.
    """

    served: tuple = ()
    loads: tuple = ()
    reports: tuple = ()
    remote: tuple = ()
