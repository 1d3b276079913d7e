"""Forecast of the load."""

from __future__ import annotations

import math
from typing import NamedTuple

SMOOTHING_SECONDS = 15.0
TREND_SMOOTHING_SECONDS = 30.0


class Forecast(NamedTuple):
    """Smoothed load and its change per second.

    Attributes
    ----------
    load, trend : float
        Level in servers, and its change per second.
    at : float
        Time of the last sample; minus infinity before the first.
    """

    load: float = 0.0
    trend: float = 0.0
    at: float = -math.inf


def update_forecast(forecast: Forecast, load: float, now: float) -> Forecast:
    """Return the forecast after a sample of the load."""
    if forecast.at == -math.inf:
        return Forecast(load, 0.0, now)
    seconds = now - forecast.at
    if seconds <= 0:
        return forecast
    factor = 1.0 - math.exp(-seconds / SMOOTHING_SECONDS)
    level = forecast.load + factor * (load - forecast.load)
    slope = (level - forecast.load) / seconds
    factor = 1.0 - math.exp(-seconds / TREND_SMOOTHING_SECONDS)
    trend = forecast.trend + factor * (slope - forecast.trend)
    return Forecast(level, trend, now)


def predict_load(forecast: Forecast, ahead: float) -> float:
    """Return the load after some seconds; a falling trend is ignored."""
    return forecast.load + max(0.0, forecast.trend) * ahead
