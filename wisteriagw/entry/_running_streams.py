"""Number of running streams by backend server."""

from __future__ import annotations

from collections import Counter


class RunningStreams(Counter):
    """Counter that records which counts were changed.

    Attributes
    ----------
    changed : set of str
        Backend servers whose count was set since the set was cleared.
    """

    def __init__(self, *arguments: object) -> None:
        self.changed: set[str] = set()
        super().__init__(*arguments)

    def __setitem__(self, backend_server: str, count: int) -> None:
        """Set a count."""
        self.changed.add(backend_server)
        super().__setitem__(backend_server, count)
