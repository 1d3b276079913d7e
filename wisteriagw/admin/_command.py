"""A subcommand."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    import argparse
    from collections.abc import Callable

    from wisteriagw.admin._operator_call import OperatorCall


class Command(NamedTuple):
    """A subcommand of ``wisteriagw-admin``.

    Attributes
    ----------
    name, help : str
        Name and help text on the command line.
    add_arguments : callable
        Adds the arguments to the subcommand's parser.
    build_call : callable
        Returns the call for parsed arguments; raises OSError or ValueError if they are
        invalid.
    format_answer : callable
        Returns the human-readable form of a successful answer.
    next_call : callable, optional
        Returns the call for the next page after an answer, or None.
    """

    name: str
    help: str
    add_arguments: Callable[[argparse.ArgumentParser], None]
    build_call: Callable[[argparse.Namespace], OperatorCall]
    format_answer: Callable[[dict[str, Any]], str]
    next_call: Callable[[argparse.Namespace, dict[str, Any]], OperatorCall | None] = (
        lambda arguments, answer: None
    )
