"""Running mean to which the samples of a service and kind are compared."""

from __future__ import annotations

from typing import NamedTuple

# Samples that the mean covers: it follows a change of what callers ask for, and its
# own error stays under a tenth of the spread of the samples.
BASELINE_SAMPLES = 50
# Samples before the mean is used; the error of a mean of fewer looks like a speed.
MIN_BASELINE_SAMPLES = 10


class Baseline(NamedTuple):
    """Mean logarithm of expected to measured seconds.

    Attributes
    ----------
    mean : float
        Running mean.
    samples : int
        Samples that the mean covers, at most ``BASELINE_SAMPLES``.
    """

    mean: float = 0.0
    samples: int = 0

    def is_known(self) -> bool:
        """Return whether samples can be compared with the mean."""
        return self.samples >= MIN_BASELINE_SAMPLES


def update_baseline(baseline: Baseline, log_ratio: float) -> Baseline:
    """Return the baseline with a further logarithm.

    A slow server moves it for all servers alike, which `find_log_speeds` evens out.
    """
    samples = min(BASELINE_SAMPLES, baseline.samples + 1)
    mean = baseline.mean + (log_ratio - baseline.mean) / samples
    return Baseline(mean, samples)
