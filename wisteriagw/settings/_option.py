"""Description of one setting."""

from __future__ import annotations

from typing import NamedTuple


class Option(NamedTuple):
    """A setting that a flag or an environment variable gives.

    Attributes
    ----------
    name : str
        Name of the flag without dashes; the variable is derived from it.
    kind : NamedTuple
        One of the kinds in this package; it parses and bounds the value.
    default : str or None
        Text form of the default; None for a setting that must be given, and an empty
        text for one that may be left out.
    help : str
        One sentence for ``--help`` and ``docs/settings.md``.
    """

    name: str
    kind: NamedTuple
    default: str | None
    help: str
