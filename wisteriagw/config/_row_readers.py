"""Row kinds of a sheet and their readers."""

from __future__ import annotations

from wisteriagw.config._customer_reader import read_customer
from wisteriagw.config._engine_reader import read_engine
from wisteriagw.config._model_reader import read_model
from wisteriagw.config._route_reader import read_route
from wisteriagw.config._service_reader import read_service

# Table of the sheet and reader of the row, by the value of column ``kind``.
ROW_READERS = {
    "customer": ("customers", read_customer),
    "model": ("models", read_model),
    "engine": ("backend_servers", read_engine),
    "service": ("backend_servers", read_service),
    "route": ("routes", read_route),
}
