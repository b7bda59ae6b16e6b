"""Settings of the processes that distribute configuration, and of the fronts that follow them.

Checked whole: the first thing that makes no sense is told in one line, and nothing starts on half of it.
"""

import hashlib
from dataclasses import fields as dataclass_fields
from ipaddress import ip_address

from lichenquay.config import lichenquay_pb2 as pb
from lichenquay.config.endpoint_list import COMPLETE_KEY, ENGINE_PREFIX
from lichenquay.config.fleet_settings import NAME, address_of
from lichenquay.distribution.settings import Settings as DistributionSettings

VOTER, RELAY = pb.Control.VOTER, pb.Control.RELAY
VOTER_COUNTS = (1, 3, 5)
MOST_RELAYS = 1024
MOST_PREFIX = 64  # characters, as a key's
MOST_PREFIXES = DistributionSettings.most_prefixes
USUAL_LEASE_MS = 3000.0
USUAL_PREFIXES = ("config/",)
REVISION = 1  # of what the processes say to each other
FIGURE_RANGES = {
    "report_ms": (50, 60_000),
    "silent_ms": (100, 600_000),
    "expire_ms": (200, 3.6e6),
    "stale_ms": (100, 3.6e6),
    "merge_ms": (0, 10_000),
    "snapshot_bytes_per_s": (1e4, 1e10),
    "most_snapshots": (1, 4096),
    "most_sessions": (1, 65_536),
}
RANGES = {
    "control.lease_ms": (200, 60_000),
    **{
        f"{where}.figures.{name}": bounds
        for where in ("control", "distribution")
        for name, bounds in FIGURE_RANGES.items()
    },
}
NO_NAME = "is no name of 1 to 24 letters, digits, dots and dashes"


def fault_of_control(said):
    """The first thing that makes no sense in the file of a control process, or None."""
    control = said.control
    if said.HasField("fleet") or said.HasField("gate") or said.HasField("distribution"):
        return "control: a file is a control process's or a front's, not both"
    return (
        _fault_of_identity(control, "control")
        or _fault_of_role(control)
        or _fault_of_zones(control)
        or _fault_of_voters(control)
        or _fault_of_relays(control.relays, "control", control.listen)
        or _fault_of_zones_of_relays(control)
        or _fault_among(control)
        or _fault_of_own_place(control)
        or _fault_of_figures(control.figures, "control")
    )


def fault_of_distribution(said):
    """The first thing that makes no sense in what a front follows, or None."""
    following, listen = said.distribution, said.fleet.listen
    if said.HasField("fleet"):
        for field in ("fleet", "name", "listen"):
            if following.HasField(field):
                return f"distribution.{field}: said by `fleet` already"
    elif fault := _fault_of_identity(following, "distribution"):
        return fault
    if not following.relays:
        return "distribution.relays: missing"
    listen = listen or following.listen
    return (
        _fault_of_relays(following.relays, "distribution", listen)
        or _fault_of_front_zone(following)
        or _fault_of_shared_names(said)
        or _fault_of_prefixes(following.prefixes)
        or _fault_of_engines(following)
        or _fault_of_figures(following.figures, "distribution")
    )


def warnings_of(said):
    """What works and is less than it could be: lines to be logged at the start."""
    if said.HasField("control") and said.control.role == VOTER:
        return _warnings_of_voters(said.control.voters)
    return []


def _warnings_of_voters(voters):
    if len(voters) == 1:
        return ["control.voters: one alone; while it is down nothing changes, and its folder is the only one"]
    regions = [voter.region for voter in voters]
    largest = max(set(regions), key=regions.count)
    if len(set(regions)) == 1:
        return [f"control.voters: all in region {largest!r}; without that region nothing changes"]
    if regions.count(largest) > len(voters) // 2:
        return [f"control.voters: most are in region {largest!r}; without that region nothing changes"]
    return []


# The parts of the check.


def _fault_of_identity(message, where):
    for field in ("fleet", "name", "listen"):
        if not getattr(message, field):
            return f"{where}.{field}: missing"
    for field in ("fleet", "name"):
        if not NAME.match(getattr(message, field)):
            return f"{where}.{field}: {getattr(message, field)[:40]!r} {NO_NAME}"
    return _fault_of_address(message.listen, f"{where}.listen")


def _fault_of_address(text, where, listen=None):
    """An address of the network, not a name: nothing is looked up while datagrams wait."""
    try:
        host = ip_address(address_of(text)[0])
    except ValueError:
        return f"{where}: {text[:60]!r} is no address:port"
    if listen and host.version != ip_address(address_of(listen)[0]).version:
        return f"{where}: {text!r} cannot be reached from {listen!r}"
    return None


def _fault_of_role(control):
    if control.role == VOTER:
        if not control.folder:
            return "control.folder: missing; a voter needs one that lasts"
        if control.zone:
            return "control.zone: a voter has none"
        return _fault_of_address(control.discovery, "control.discovery") if control.discovery else None
    if control.role == RELAY:
        unwanted = next((field for field in ("folder", "discovery") if getattr(control, field)), None)
        return f"control.{unwanted}: a relay has none" if unwanted else None
    return "control.role: missing; VOTER or RELAY"


def _fault_of_zones(control):
    seen = set()
    for i, zone in enumerate(control.zones):
        if not NAME.match(zone.name):
            return f"control.zones[{i}].name: {zone.name[:40]!r} {NO_NAME}"
        if not NAME.match(zone.region):
            return f"control.zones[{i}].region: {zone.region[:40]!r} {NO_NAME}"
        if zone.name in seen:
            return f"control.zones[{i}].name: {zone.name!r} is another zone's"
        seen.add(zone.name)
    return None


def _fault_of_voters(control):
    if len(control.voters) not in VOTER_COUNTS:
        return f"control.voters: {len(control.voters)} of them; 1, 3 or 5 are wanted"
    return _fault_of_places(control.voters, "control.voters", control.listen, ("region",))


def _fault_of_relays(relays, where, listen):
    if len(relays) > MOST_RELAYS:
        return f"{where}.relays: {len(relays)}, {MOST_RELAYS} at most"
    fault = _fault_of_places(relays, f"{where}.relays", listen, ("region", "zone"))
    if fault:
        return fault
    regions = {}
    for i, relay in enumerate(relays):
        region = regions.setdefault(relay.zone, relay.region)
        if relay.region != region:
            return f"{where}.relays[{i}].region: zone {relay.zone!r} is in {region!r} at another relay"
    return None


def _fault_of_places(places, where, listen, fields):
    names, addresses = set(), set()
    for i, place in enumerate(places):
        here = f"{where}[{i}]"
        for field in ("name", *fields):
            if not NAME.match(getattr(place, field)):
                return f"{here}.{field}: {getattr(place, field)[:40]!r} {NO_NAME}"
        if fault := _fault_of_address(place.address, f"{here}.address", listen):
            return fault
        if place.name in names:
            return f"{here}.name: {place.name!r} is another's"
        if place.address in addresses:
            return f"{here}.address: {place.address!r} is another's"
        names.add(place.name)
        addresses.add(place.address)
    return None


def _fault_of_zones_of_relays(control):
    if not control.zones:
        return None
    regions = {zone.name: zone.region for zone in control.zones}
    for i, relay in enumerate(control.relays):
        if relay.zone not in regions:
            return f"control.relays[{i}].zone: {relay.zone!r} is none of `zones`"
        if relay.region != regions[relay.zone]:
            return f"control.relays[{i}].region: zone {relay.zone!r} is in {regions[relay.zone]!r}"
    if control.zone and control.zone not in regions:
        return f"control.zone: {control.zone!r} is none of `zones`"
    return None


def _fault_among(control):
    """A name or an address is one process's."""
    names = {voter.name for voter in control.voters}
    addresses = {voter.address for voter in control.voters}
    for i, relay in enumerate(control.relays):
        if relay.name in names:
            return f"control.relays[{i}].name: {relay.name!r} is a voter's"
        if relay.address in addresses:
            return f"control.relays[{i}].address: {relay.address!r} is a voter's"
    return None


def _fault_of_own_place(control):
    """What this process says of itself is what the lists say."""
    own_list, kind = (control.voters, "voters") if control.role == VOTER else (control.relays, "relays")
    other_list = control.relays if control.role == VOTER else control.voters
    if any(place.name == control.name for place in other_list):
        return f"control.role: {control.name!r} has another one by the lists"
    own = next((place for place in own_list if place.name == control.name), None)
    if own is None:
        wanted = control.role == VOTER or len(control.relays) > 0
        return f"control.{kind}: {control.name!r}, this process, is not among them" if wanted else None
    if control.region and control.region != own.region:
        return f"control.region: {control.region!r}, but {own.region!r} in `{kind}`"
    if control.zone and control.zone != own.zone:
        return f"control.zone: {control.zone!r}, but {own.zone!r} in `{kind}`"
    return None


def _fault_of_front_zone(following):
    if not following.zone:
        return "distribution.zone: missing"
    if not NAME.match(following.zone):
        return f"distribution.zone: {following.zone[:40]!r} {NO_NAME}"
    if all(relay.zone != following.zone for relay in following.relays):
        return f"distribution.zone: no relay is in {following.zone!r}"
    return None


def _fault_of_shared_names(said):
    own = {said.fleet.name, said.distribution.name, *(peer.name for peer in said.fleet.peers)}
    for i, relay in enumerate(said.distribution.relays):
        if relay.name in own:
            return f"distribution.relays[{i}].name: {relay.name!r} is a front's"
    return None


def _fault_of_prefixes(prefixes):
    if len(prefixes) > MOST_PREFIXES:
        return f"distribution.prefixes: {len(prefixes)}, {MOST_PREFIXES} at most"
    for i, prefix in enumerate(prefixes):
        if len(prefix) > MOST_PREFIX:
            return f"distribution.prefixes[{i}]: {len(prefix)} characters, {MOST_PREFIX} at most"
        if prefix in prefixes[:i]:
            return f"distribution.prefixes[{i}]: {prefix!r} is said twice"
    return None


def _fault_of_engines(following):
    """A front that takes its engines from here follows them, and the word that all are there."""
    prefixes = prefixes_of(following)
    engines = any(p.startswith(ENGINE_PREFIX) or ENGINE_PREFIX.startswith(p) for p in prefixes)
    if following.engines and not (engines and COMPLETE_KEY.startswith(prefixes)):
        return f"distribution.engines: `prefixes` have to cover {ENGINE_PREFIX} and {COMPLETE_KEY}"
    return None


def _fault_of_figures(figures, where):
    """Each alone is in its range; together they have to leave time for a second report."""
    settings = figures_of(figures)
    for field in ("silent_ms", "expire_ms", "stale_ms"):
        value = getattr(settings, field)
        if value < 2 * settings.report_ms:
            return f"{where}.figures.{field}: {value:g} is under two reports of {settings.report_ms:g}"
    return None


# What the settings mean.


def figures_of(figures):
    """`distribution.Settings` with what an operator said in place of the usual figures."""
    known = {field.name for field in dataclass_fields(DistributionSettings)}
    said = {field.name: value for field, value in figures.ListFields() if field.name in known}
    return DistributionSettings(**said)


def lease_ms_of(control):
    """For which the publisher may act without a word from a majority."""
    return control.lease_ms or USUAL_LEASE_MS


def region_of(control):
    """Where this process is: as it says itself, or as the lists do."""
    if control.region:
        return control.region
    places = [*control.voters, *control.relays]
    return next((place.region for place in places if place.name == control.name), "")


def prefixes_of(following):
    """Of the keys that a front follows."""
    usual = (*USUAL_PREFIXES, ENGINE_PREFIX) if following.engines else USUAL_PREFIXES
    return tuple(following.prefixes) or usual


def group_fingerprint(control):
    """Of all that must be alike on all voters: 64 bits."""
    voters = sorted(voter.name for voter in control.voters)
    return _fingerprint("control", control.fleet, voters, lease_ms_of(control))


def distribution_fingerprint(fleet):
    """Of all that publishers, relays, fronts and clients share: the fleet's name and the revision."""
    return _fingerprint("distribution", fleet)


def _fingerprint(*said):
    text = repr((REVISION, *said)).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")
