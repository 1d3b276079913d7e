"""Reader for sheet rows of kind ``route``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.config._cell_parsing import (
    parse_flag,
    parse_method,
    parse_name,
    parse_path,
)

if TYPE_CHECKING:
    from wisteriagw.config._route_row import RouteRow
    from wisteriagw.config._row_cells import RowCells


def read_route(cells: RowCells) -> RouteRow:
    """Return the route in a row."""
    return {
        "service": cells.read("serves", parse_name),
        "method": cells.read("method", parse_method),
        "path": cells.read("path", parse_path),
        "idempotent": cells.read("idempotent", parse_flag),
        "open": cells.read("open", parse_flag),
    }
