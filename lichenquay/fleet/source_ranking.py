"""The order in which a process tries the sources that it may follow. No I/O."""

from collections.abc import Iterable
from hashlib import blake2b

WEIGHT_BYTES = 8
SAME_ZONE = 0
SAME_REGION = 1
ELSEWHERE = 2


def rank_sources(sources: Iterable, name: str, zone: str = "", region: str = "") -> list[str]:
    """Names of the sources: first those of the same zone, then of the same region, then all others.

    Within each of these the order is by rendezvous hash of both names. So it is the same at each start, the
    followers of a source that fails spread over all others, and no other follower moves.
    sources: with `name`, `zone` and `region`. name, zone, region: of the process that follows.
    """

    def rank(source):
        return _distance(source, zone, region), -_weight(source.name, name), source.name

    return [source.name for source in sorted(sources, key=rank)]


def _distance(source, zone, region):
    if zone and source.zone == zone:
        return SAME_ZONE
    if region and source.region == region:
        return SAME_REGION
    return ELSEWHERE


def _weight(source_name, name):
    digest = blake2b(f"{source_name} {name}".encode(), digest_size=WEIGHT_BYTES).digest()
    return int.from_bytes(digest, "big")
