"""Reader for sheet rows of kind ``customer``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.config._cell_parsing import parse_name, parse_priority, parse_weight

if TYPE_CHECKING:
    from wisteriagw.config._customer_row import CustomerRow
    from wisteriagw.config._row_cells import RowCells


def read_customer(cells: RowCells) -> CustomerRow:
    """Return the customer in a row."""
    return {
        "name": cells.read("name", parse_name),
        "weight": cells.read("weight", parse_weight),
        "priority": cells.read("priority", parse_priority),
    }
