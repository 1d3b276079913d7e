"""Loss of an answer."""

from __future__ import annotations


class AnswerLostError(Exception):
    """The connection ended, or broke the protocol, before the answer was whole."""
