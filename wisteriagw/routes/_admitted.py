"""Admission of a request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisteriagw.routes._customer import Customer
    from wisteriagw.routes._route import Route
    from wisteriagw.routes._service import Service


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request may run at a service, for a customer unless its route is open."""

    route: Route
    service: Service
    customer: Customer | None
