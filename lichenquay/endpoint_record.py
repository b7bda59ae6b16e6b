"""One entry of the endpoint list, in the form common to all sources of the list."""

from typing import NamedTuple


class EndpointRecord(NamedTuple):
    """One engine of the endpoint list.

    state: a value of `admission.domain.EndpointState`. started_ms: Unix time, in ms, at which the engine
    started, if it was started late; else 0.
    """

    uid: str
    address: str
    zone: str
    kind: str
    cell: int
    state: str
    advertised_weight: float
    started_ms: float
