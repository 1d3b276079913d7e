"""Service in the configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.routes._engine_traits import EngineTraits
    from wisteriagw.routes._scaling_terms import ScalingTerms


class Service(NamedTuple):
    """A group of backend servers that serve the same requests.

    Attributes
    ----------
    name : str
        Name that backend servers register under.
    max_connections : int
        Connections that a backend server accepts from all callers together.
    engine : EngineTraits or None
        Properties of model engines; None for a plain service.
    scaling : ScalingTerms or None
        None if the servers of the service cannot be ordered.
    """

    name: str
    max_connections: int
    engine: EngineTraits | None = None
    scaling: ScalingTerms | None = None
