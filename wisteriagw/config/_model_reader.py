"""Reader for sheet rows of kind ``model``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.config._cell_parsing import parse_name, parse_names

if TYPE_CHECKING:
    from wisteriagw.config._model_row import ModelRow
    from wisteriagw.config._row_cells import RowCells


def read_model(cells: RowCells) -> ModelRow:
    """Return the model in a row."""
    return {
        "name": cells.read("name", parse_name),
        "version": cells.read("version", parse_name),
        "adapters": cells.read("adapters", parse_names),
    }
