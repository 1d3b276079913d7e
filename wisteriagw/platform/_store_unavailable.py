"""Failure of a call to the platform's store."""

from __future__ import annotations


class StoreUnavailableError(Exception):
    """A call to the store failed, or its result is unknown.

    Attributes
    ----------
    may_have_run : bool
        Whether an append may have taken effect or may still do so.
    """

    def __init__(self, message: str, *, may_have_run: bool) -> None:
        super().__init__(message)
        self.may_have_run = may_have_run
