"""Description of one setting."""

from __future__ import annotations

from typing import NamedTuple


class Option(NamedTuple):
    """A setting from a flag or an environment variable.

    Attributes
    ----------
    name : str
        Name of the flag without dashes; the environment variable is derived from it.
    kind : NamedTuple
        One of the kinds in this package, which defines how the value is parsed and
        its bounds.
    default : str or None
        Text form of the default; None for a required setting, and an empty string for
        one that may be omitted.
    help : str
        One sentence for ``--help`` and ``docs/settings.md``.
    """

    name: str
    kind: NamedTuple
    default: str | None
    help: str
