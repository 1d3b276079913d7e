"""Outcome of an attempt whose answer has begun."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisteriagw.connections import Response, ResponseHead


@dataclass(frozen=True, slots=True)
class Answering:
    """The backend server runs the request, and its answer is being received."""

    answer: Response
    head: ResponseHead
