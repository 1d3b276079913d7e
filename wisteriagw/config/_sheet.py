"""Sheet of one day."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypedDict

if TYPE_CHECKING:
    from wisteriagw.config._backend_server_row import BackendServerRow
    from wisteriagw.config._customer_row import CustomerRow
    from wisteriagw.config._model_row import ModelRow
    from wisteriagw.config._route_row import RouteRow


class Sheet(TypedDict):
    """Customers, models, backend servers and routes of one day."""

    customers: list[CustomerRow]
    models: list[ModelRow]
    backend_servers: list[BackendServerRow]
    routes: list[RouteRow]
