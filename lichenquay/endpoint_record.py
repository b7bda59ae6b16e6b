"""One engine as a list of engines tells it, whatever way the list comes."""

from typing import NamedTuple


class EndpointRecord(NamedTuple):
    """`state` is one of `admission.domain`; `started_ms`: Unix time of a late start, or 0."""

    uid: str
    address: str
    zone: str
    kind: str
    cell: int
    state: str
    advertised_weight: float
    started_ms: float
