"""Settings of the log's retention, for programs that write checkpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.checkpoints._retention import Retention
from wisteriagw.settings import IntegerKind, NumberKind, Option

if TYPE_CHECKING:
    from collections.abc import Mapping
    from typing import Any

RETENTION_OPTIONS = (
    Option(
        "log-retention-records",
        IntegerKind(10, 100_000_000, "records"),
        "100000",
        "Records of a stream that the log keeps.",
    ),
    Option(
        "log-retention-seconds",
        NumberKind(60.0, 1e8, "s"),
        "86400",
        "Time for which the log keeps a record.",
    ),
)


def build_retention(settings: Mapping[str, Any]) -> Retention:
    """Return the retention configured by the settings."""
    return Retention(
        settings["log-retention-records"], settings["log-retention-seconds"]
    )
