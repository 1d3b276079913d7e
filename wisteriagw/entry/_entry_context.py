"""State that the resources of an entry process share."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wisteriagw.config import apply_record, build_empty_config
from wisteriagw.follower import StreamFollower
from wisteriagw.routing import BackendView
from wisteriagw.settings import AddressKind, parse_value

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Callable

    from wisteriagw.config import ConfigState, RouteRow
    from wisteriagw.entry._dispatch_adapter import DispatchAdapter
    from wisteriagw.http import HttpClient
    from wisteriagw.platform import LogClient

CONFIG_STREAM = "config"


class EntryContext:
    """Configuration, clients and accounting of one entry process."""

    def __init__(
        self,
        settings: dict[str, Any],
        client: HttpClient,
        log: LogClient,
        clock: Callable[[], float],
        running: Counter[str],
    ) -> None:
        self.settings = settings
        self.client = client
        self.log = log
        self.clock = clock
        self.running = running
        self.dispatch: DispatchAdapter | None = None
        self.config_follower = StreamFollower(
            log, CONFIG_STREAM, build_empty_config(), apply_record, clock
        )

    @property
    def config(self) -> ConfigState:
        """The configuration as far as it was read."""
        return self.config_follower.state

    def list_views(self) -> list[BackendView]:
        """Return the backend servers as the routing decision sees them."""
        views = []
        for row in self.config.sheet["backend_servers"]:
            view = BackendView(
                name=row["name"],
                data_centre=row["data_centre"],
                serves=row["serves"],
                role=row["role"],
                reclaimable=row["reclaimable"],
                leaving=row["name"] in self.config.draining,
                running_streams=self.running[row["name"]],
            )
            views.append(view)
        return views

    def get_address(self, backend_server: str) -> tuple[str, int] | None:
        """Return the address of a backend server on the sheet."""
        for row in self.config.sheet["backend_servers"]:
            if row["name"] == backend_server:
                return parse_value(AddressKind(), row["address"])
        return None

    def find_route(self, service: str, method: str, path: str) -> RouteRow | None:
        """Return the route of a plain service call with the longest matching path."""
        best: RouteRow | None = None
        for row in self.config.sheet["routes"]:
            if row["service"] != service or row["method"] != method:
                continue
            if not path.startswith(row["path"]):
                continue
            if best is None or len(row["path"]) > len(best["path"]):
                best = row
        return best
