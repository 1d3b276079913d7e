"""Retries and requests of a process within a sliding window."""

from __future__ import annotations

from collections import deque

# Requests are counted in this many intervals per window, to bound the memory.
INTERVALS_PER_WINDOW = 20


class RetryWindow:
    """Counts requests and retries of the last seconds.

    All retries that the window allows may be used at once, as after the loss of a
    backend server with many open requests; none are left for the rest of it then.

    Parameters
    ----------
    seconds : float
        Length of the window.
    """

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._interval = seconds / INTERVALS_PER_WINDOW
        self._requests: deque[list[float]] = deque()
        self._retried_at: deque[float] = deque()
        self._request_count = 0

    def count_request(self, now: float) -> None:
        """Count a new request."""
        started = now - now % self._interval
        if not self._requests or self._requests[-1][0] != started:
            self._expire(now)
            self._requests.append([started, 0])
        self._requests[-1][1] += 1
        self._request_count += 1

    def count_retry(self, now: float) -> None:
        """Count a retry."""
        self._retried_at.append(now)

    def compute_remaining(
        self, per_request: float, constant: float, now: float
    ) -> float:
        """Return the retries left in the window that ends now.

        Parameters
        ----------
        per_request : float
            Retries that each request of the window allows.
        constant : float
            Retries that each window allows besides.
        now : float
            Time in seconds.
        """
        allowed = self.compute_allowed(per_request, constant, now)
        return allowed - len(self._retried_at)

    def compute_allowed(self, per_request: float, constant: float, now: float) -> float:
        """Return the retries of the window that ends now, used ones included."""
        self._expire(now)
        return constant + per_request * self._request_count

    def _expire(self, now: float) -> None:
        while self._requests and self._requests[0][0] <= now - self._seconds:
            self._request_count -= self._requests.popleft()[1]
        while self._retried_at and self._retried_at[0] <= now - self._seconds:
            self._retried_at.popleft()
