"""Failure of a call to the platform's store."""

from __future__ import annotations


class StoreUnavailableError(Exception):
    """The store did not do what was asked, or did not say so.

    Attributes
    ----------
    may_have_run : bool
        Whether an append may be in the log, or may still get there.
    """

    def __init__(self, message: str, *, may_have_run: bool) -> None:
        super().__init__(message)
        self.may_have_run = may_have_run
