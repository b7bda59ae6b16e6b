"""One engine as a list of engines tells it, whatever way the list comes."""

from typing import NamedTuple


class EngineRow(NamedTuple):
    """`state` is one of `admission.interface`; `started_ms`: Unix time of a late start, or 0."""

    uid: str
    address: str
    place: str
    kind: str
    cell: int
    state: str
    units: float
    started_ms: float
