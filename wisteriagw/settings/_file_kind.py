"""Kind of a setting: file."""

from __future__ import annotations

from typing import NamedTuple


class FileKind(NamedTuple):
    """The path of a file that is readable when the program starts."""
