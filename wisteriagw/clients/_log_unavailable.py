"""Error of a call to the log without a valid response."""

from __future__ import annotations


class LogUnavailableError(Exception):
    """No valid response was received; an append may still have taken effect.

    Attributes
    ----------
    may_have_run : bool
        False if the call is known not to have reached the log.
    """

    def __init__(self, message: str = "", *, may_have_run: bool = True) -> None:
        super().__init__(message)
        self.may_have_run = may_have_run
