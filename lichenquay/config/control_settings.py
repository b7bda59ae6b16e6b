"""Settings of control processes (the `control` section): checks, defaults and derived values.

The whole file is checked, and its first error is reported in one line. No process starts with invalid
settings.
"""

from lichenquay.config import lichenquay_pb2 as pb
from lichenquay.config.distribution_settings import (
    TIMING_RANGES,
    find_timing_error,
    fingerprint_of,
)
from lichenquay.config.process_entries import (
    find_address_error,
    find_identity_error,
    find_name_error,
    find_process_list_error,
    find_relay_list_error,
)

VOTER = pb.Control.VOTER
RELAY = pb.Control.RELAY
VOTER_COUNTS = (1, 3, 5)
DEFAULT_LEASE_MS = 3000.0
RANGES = {
    "control.lease_ms": (200, 60_000),
    **{
        f"{section}.figures.{name}": bounds
        for section in ("control", "distribution")
        for name, bounds in TIMING_RANGES.items()
    },
}


def find_control_error(settings) -> str | None:
    """Returns the first error in the settings file of a control process, or None."""
    control = settings.control
    if settings.HasField("fleet") or settings.HasField("gate") or settings.HasField("distribution"):
        return "control: not allowed in a file with gateway settings (fleet, gate or distribution)"
    return (
        find_identity_error(control, "control")
        or _find_role_error(control)
        or _find_zones_error(control)
        or _find_voters_error(control)
        or find_relay_list_error(control.relays, "control", control.listen)
        or _find_relay_zones_error(control)
        or _find_voter_relay_conflict(control)
        or _find_own_entry_error(control)
        or find_timing_error(control.figures, "control")
    )


def find_warnings(settings) -> list[str]:
    """Returns warnings about valid settings with avoidable single points of failure, one line each."""
    if settings.HasField("control") and settings.control.role == VOTER:
        return _voter_warnings(settings.control.voters)
    return []


def lease_duration_ms(control) -> float:
    """Returns the duration of the publisher's lease in milliseconds.

    The publisher acts for no longer than this without an answer from a majority of the voters.
    """
    return control.lease_ms or DEFAULT_LEASE_MS


def region_of(control) -> str:
    """Returns the region of this process, by default that of its entry in `voters` or `relays`."""
    if control.region:
        return control.region
    processes = [*control.voters, *control.relays]
    return next((process.region for process in processes if process.name == control.name), "")


def group_fingerprint(control) -> int:
    """Returns a 64-bit hash of the settings that must be the same on all voters."""
    voters = sorted(voter.name for voter in control.voters)
    return fingerprint_of("control", control.fleet, voters, lease_duration_ms(control))


def _voter_warnings(voters):
    if len(voters) == 1:
        return ["control.voters: one alone; no changes while it is down, and its folder is the only copy"]
    regions = [voter.region for voter in voters]
    largest = max(set(regions), key=regions.count)
    if len(set(regions)) == 1:
        return [f"control.voters: all in region {largest!r}; its loss stops all configuration changes"]
    if regions.count(largest) > len(voters) // 2:
        return [
            f"control.voters: a majority is in region {largest!r}; its loss stops all configuration changes"
        ]
    return []


def _find_role_error(control):
    if control.role == VOTER:
        if not control.folder:
            return "control.folder: missing; a voter requires durable storage"
        if control.zone:
            return f"control.zone: {control.zone!r} is not allowed for a voter"
        return find_address_error(control.discovery, "control.discovery") if control.discovery else None
    if control.role == RELAY:
        voter_field = next((field for field in ("folder", "discovery") if getattr(control, field)), None)
        return f"control.{voter_field}: not allowed for a relay" if voter_field else None
    return "control.role: missing; expected VOTER or RELAY"


def _find_zones_error(control):
    names = set()
    for index, zone in enumerate(control.zones):
        path = f"control.zones[{index}]"
        for field in ("name", "region"):
            if error := find_name_error(getattr(zone, field), f"{path}.{field}"):
                return error
        if zone.name in names:
            return f"{path}.name: {zone.name!r} is already the name of another zone"
        names.add(zone.name)
    return None


def _find_voters_error(control):
    if len(control.voters) not in VOTER_COUNTS:
        return f"control.voters: {len(control.voters)} voters; expected 1, 3 or 5"
    return find_process_list_error(control.voters, "control.voters", control.listen, ("region",))


def _find_relay_zones_error(control):
    if not control.zones:
        return None
    regions = {zone.name: zone.region for zone in control.zones}
    for index, relay in enumerate(control.relays):
        if relay.zone not in regions:
            return f"control.relays[{index}].zone: {relay.zone!r} is not listed in `zones`"
        if relay.region != regions[relay.zone]:
            return f"control.relays[{index}].region: zone {relay.zone!r} is in {regions[relay.zone]!r}"
    if control.zone and control.zone not in regions:
        return f"control.zone: {control.zone!r} is not listed in `zones`"
    return None


def _find_voter_relay_conflict(control):
    """Returns an error if a relay has the name or the address of a voter."""
    names = {voter.name for voter in control.voters}
    addresses = {voter.address for voter in control.voters}
    for index, relay in enumerate(control.relays):
        if relay.name in names:
            return f"control.relays[{index}].name: {relay.name!r} is already the name of a voter"
        if relay.address in addresses:
            return f"control.relays[{index}].address: {relay.address!r} is already the address of a voter"
    return None


def _find_own_entry_error(control):
    """Returns an error if the settings of this process differ from its entry in `voters` or `relays`."""
    is_voter = control.role == VOTER
    list_name = "voters" if is_voter else "relays"
    own_list = control.voters if is_voter else control.relays
    other_list = control.relays if is_voter else control.voters
    if any(process.name == control.name for process in other_list):
        return f"control.role: {control.name!r} is listed with another role"
    own = next((process for process in own_list if process.name == control.name), None)
    if own is None:
        is_required = is_voter or len(control.relays) > 0
        return f"control.{list_name}: no entry for this process, {control.name!r}" if is_required else None
    if control.region and control.region != own.region:
        return f"control.region: {control.region!r}, but {own.region!r} in `{list_name}`"
    if control.zone and control.zone != own.zone:
        return f"control.zone: {control.zone!r}, but {own.zone!r} in `{list_name}`"
    return None
