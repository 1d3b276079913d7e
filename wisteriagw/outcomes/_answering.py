"""Outcome of an attempt whose response has begun."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisteriagw.connections import Response, ResponseHead


@dataclass(frozen=True, slots=True)
class Answering:
    """The backend server runs the request and its response is being received."""

    response: Response
    head: ResponseHead
