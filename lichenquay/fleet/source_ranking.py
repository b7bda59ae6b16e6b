"""In which order a process tries the sources that it may follow. No I/O."""

from hashlib import blake2b


def ranked(places, name, zone="", region=""):
    """Names of `places`: those of the own zone first, then of the own region, then all others.

    Within each the order is by rendezvous hash of both names: it is the same at each start, those of a source
    that is gone spread over all others, and nobody else moves.
    """

    def rank(place):
        distance = 0 if zone and place.zone == zone else 1 if region and place.region == region else 2
        return distance, -_weight(place.name, name), place.name

    return [place.name for place in sorted(places, key=rank)]


def _weight(place, name):
    digest = blake2b(f"{place} {name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
