"""Tests of the index of a sheet and of the views built from it."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from wisteriagw.config import build_empty_config
from wisteriagw.entry._backend_views import BackendViews
from wisteriagw.entry._running_streams import RunningStreams
from wisteriagw.entry._sheet_index import build_sheet_index
from wisteriagw.membership import BackendDeparture

NAMES = ("e0", "e1", "e2", "e3")
PATHS = st.text("/ab", max_size=6).map(lambda text: "/" + text.lstrip("/"))


def build_sheet(names=NAMES, routes=(), *, reclaimable=False) -> dict:
    servers = [
        {
            "name": name,
            "data_centre": "dc1",
            "address": f"127.0.0.1:{80 + number}",
            "kind": "engine",
            "serves": "ledger",
            "role": "mixed",
            "checks_fencing": True,
            "reclaimable": reclaimable,
        }
        for number, name in enumerate(names)
    ]
    return {
        "customers": [],
        "models": [],
        "backend_servers": servers,
        "routes": list(routes),
    }


def find_by_scan(sheet, path):
    """Return the route with the longest matching path, by a linear scan."""
    matching = [
        row
        for row in sheet["routes"]
        if (path + "/").startswith(row["path"].rstrip("/") + "/")
    ]
    return max(matching, key=lambda row: len(row["path"].rstrip("/")), default=None)


class TestSheetIndex:
    """Guards against a lookup that finds another route or server than the sheet has."""

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(
        paths=st.lists(PATHS, max_size=6, unique_by=lambda p: p.rstrip("/")), at=PATHS
    )
    def test_route_equals_that_of_a_linear_scan(self, paths, at) -> None:
        routes = [{"service": "levy", "method": "GET", "path": path} for path in paths]
        sheet = build_sheet(routes=routes)
        index = build_sheet_index(sheet)
        assert index.find_route("levy", "GET", at) is find_by_scan(sheet, at)
        assert index.find_route("levy", "POST", at) is None

    def test_address_is_that_of_the_row(self) -> None:
        index = build_sheet_index(build_sheet())
        for _ in range(2):
            assert index.get_address("e3") == ("127.0.0.1", 83)
            assert index.get_address("e9") is None


class TestBackendViews:
    """Guards against views that are older than the sheet, the drains or the streams."""

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(
        steps=st.lists(
            st.tuples(
                st.sampled_from(("run", "end", "drain", "undrain", "depart", "sheet")),
                st.sampled_from(NAMES),
            ),
            max_size=12,
        )
    )
    def test_views_equal_those_built_from_scratch(self, steps) -> None:
        config = build_empty_config()._replace(sheet=build_sheet())
        running, departures = RunningStreams(), {}
        views = BackendViews(running)
        for step, name in steps:
            if step in ("run", "end"):
                running[name] += 1 if step == "run" else -1
            elif step == "drain":
                config = config._replace(draining=config.draining | {name})
            elif step == "undrain":
                config = config._replace(draining=config.draining - {name})
            elif step == "depart":
                departures = {**departures, name: BackendDeparture(0, 0.0)}
            else:
                # The validation of sheets rejects two servers with the same name.
                remaining = NAMES[NAMES.index(name) :]
                sheet = build_sheet(remaining, reclaimable=name == "e0")
                config = config._replace(sheet=sheet)
            fresh = BackendViews(RunningStreams(running))
            assert views.list_views(config, departures) == fresh.list_views(
                config, departures
            )
