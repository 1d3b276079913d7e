"""Views of the backend servers for routing decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wisteriagw.config import build_empty_config
from wisteriagw.entry._sheet_index import build_sheet_index
from wisteriagw.membership import is_backend_leaving
from wisteriagw.routing import BackendView

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wisteriagw.config import BackendServerRow, ConfigState, Sheet
    from wisteriagw.entry._running_streams import RunningStreams
    from wisteriagw.entry._sheet_index import SheetIndex
    from wisteriagw.membership import BackendDeparture


EMPTY_SHEET = build_empty_config().sheet


class BackendViews:
    """Builds the views once per sheet and replaces only those that change."""

    def __init__(self, running: RunningStreams) -> None:
        self._running = running
        self._index = build_sheet_index(EMPTY_SHEET)
        self._views: list[BackendView] = []
        self._leaving: frozenset[str] = frozenset()
        self._leaving_sources: tuple[Any, Any] = (None, None)

    def get_index(self, sheet: Sheet) -> SheetIndex:
        """Return the index of a sheet, built once per sheet."""
        if sheet is not self._index.sheet:
            self._index = build_sheet_index(sheet)
            self._views = []
        return self._index

    def list_views(
        self, config: ConfigState, departures: Mapping[str, BackendDeparture]
    ) -> list[BackendView]:
        """Return the views in the order of the sheet; callers must not modify the list.

        A backend server is leaving if it is being drained or has announced that.
        """
        index, rows = self.get_index(config.sheet), config.sheet["backend_servers"]
        changed = self._running.changed | self._update_leaving(
            config.draining, departures
        )
        self._running.changed.clear()
        if len(self._views) != len(rows):
            self._views = [self._build_view(row) for row in rows]
            return self._views
        for name in changed:
            position = index.positions.get(name)
            if position is not None:
                self._views[position] = self._build_view(rows[position])
        return self._views

    def _update_leaving(
        self, draining: frozenset[str], departures: Mapping[str, BackendDeparture]
    ) -> frozenset[str]:
        """Return the backend servers whose leaving state has changed."""
        known_draining, known_departures = self._leaving_sources
        if draining is known_draining and departures is known_departures:
            return frozenset()
        self._leaving_sources = (draining, departures)
        departed = (name for name in departures if is_backend_leaving(departures, name))
        leaving = draining.union(departed)
        changed = leaving ^ self._leaving
        self._leaving = leaving
        return changed

    def _build_view(self, row: BackendServerRow) -> BackendView:
        return BackendView(
            name=row["name"],
            data_centre=row["data_centre"],
            serves=row["serves"],
            role=row["role"],
            reclaimable=row["reclaimable"],
            leaving=row["name"] in self._leaving,
            running_streams=self._running[row["name"]],
        )
