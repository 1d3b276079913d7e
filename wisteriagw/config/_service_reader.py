"""Reader for sheet rows of kind ``service``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.config._cell_parsing import parse_address, parse_flag, parse_name

if TYPE_CHECKING:
    from wisteriagw.config._backend_server_row import BackendServerRow
    from wisteriagw.config._row_cells import RowCells


def read_service(cells: RowCells) -> BackendServerRow:
    """Return the plain service in a row."""
    return {
        "name": cells.read("name", parse_name),
        "data_centre": cells.read("data_centre", parse_name),
        "address": cells.read("address", parse_address),
        "kind": "service",
        "serves": cells.read("serves", parse_name),
        "role": "",
        "checks_fencing": cells.read("checks_fencing", parse_flag),
        "reclaimable": cells.read("reclaimable", parse_flag),
    }
