"""Settings of control processes (`control`): checks, defaults, and what the values mean.

A file is checked whole: the first problem is reported in one line, and nothing starts on a part of it.
"""

from lichenquay.config import lichenquay_pb2 as pb
from lichenquay.config.distribution_settings import (
    TIMING_RANGES,
    fingerprint_of,
    problem_with_timing,
)
from lichenquay.config.process_entries import (
    problem_with_address,
    problem_with_identity,
    problem_with_name,
    problem_with_processes,
    problem_with_relays,
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


def problem_with_control(settings) -> str | None:
    """The first thing that cannot be used in the file of a control process, or None."""
    control = settings.control
    if settings.HasField("fleet") or settings.HasField("gate") or settings.HasField("distribution"):
        return "control: a file is a control process's or a front's, not both"
    return (
        problem_with_identity(control, "control")
        or _problem_with_role(control)
        or _problem_with_zones(control)
        or _problem_with_voters(control)
        or problem_with_relays(control.relays, "control", control.listen)
        or _problem_with_zones_of_relays(control)
        or _problem_between_voters_and_relays(control)
        or _problem_with_own_entry(control)
        or problem_with_timing(control.figures, "control")
    )


def find_warnings(settings) -> list[str]:
    """What works but tolerates fewer failures than it could: lines to be logged at the start."""
    if settings.HasField("control") and settings.control.role == VOTER:
        return _warnings_of_voters(settings.control.voters)
    return []


def lease_duration_ms(control) -> float:
    """How long the publisher may act without an answer from a majority, in milliseconds."""
    return control.lease_ms or DEFAULT_LEASE_MS


def region_of(control) -> str:
    """The region of this process: as given, or as its entry in the lists has it."""
    if control.region:
        return control.region
    processes = [*control.voters, *control.relays]
    return next((process.region for process in processes if process.name == control.name), "")


def group_fingerprint(control) -> int:
    """64 bits over all that must be the same on all voters."""
    voters = sorted(voter.name for voter in control.voters)
    return fingerprint_of("control", control.fleet, voters, lease_duration_ms(control))


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


def _problem_with_role(control):
    if control.role == VOTER:
        if not control.folder:
            return "control.folder: missing; a voter needs one that lasts"
        if control.zone:
            return "control.zone: a voter has none"
        return problem_with_address(control.discovery, "control.discovery") if control.discovery else None
    if control.role == RELAY:
        unwanted = next((field for field in ("folder", "discovery") if getattr(control, field)), None)
        return f"control.{unwanted}: a relay has none" if unwanted else None
    return "control.role: missing; VOTER or RELAY"


def _problem_with_zones(control):
    names = set()
    for index, zone in enumerate(control.zones):
        here = f"control.zones[{index}]"
        for field in ("name", "region"):
            if problem := problem_with_name(getattr(zone, field), f"{here}.{field}"):
                return problem
        if zone.name in names:
            return f"{here}.name: {zone.name!r} is another zone's"
        names.add(zone.name)
    return None


def _problem_with_voters(control):
    if len(control.voters) not in VOTER_COUNTS:
        return f"control.voters: {len(control.voters)} of them; 1, 3 or 5 are wanted"
    return problem_with_processes(control.voters, "control.voters", control.listen, ("region",))


def _problem_with_zones_of_relays(control):
    if not control.zones:
        return None
    regions = {zone.name: zone.region for zone in control.zones}
    for index, relay in enumerate(control.relays):
        if relay.zone not in regions:
            return f"control.relays[{index}].zone: {relay.zone!r} is none of `zones`"
        if relay.region != regions[relay.zone]:
            return f"control.relays[{index}].region: zone {relay.zone!r} is in {regions[relay.zone]!r}"
    if control.zone and control.zone not in regions:
        return f"control.zone: {control.zone!r} is none of `zones`"
    return None


def _problem_between_voters_and_relays(control):
    """A name and an address belong to one process."""
    names = {voter.name for voter in control.voters}
    addresses = {voter.address for voter in control.voters}
    for index, relay in enumerate(control.relays):
        if relay.name in names:
            return f"control.relays[{index}].name: {relay.name!r} is a voter's"
        if relay.address in addresses:
            return f"control.relays[{index}].address: {relay.address!r} is a voter's"
    return None


def _problem_with_own_entry(control):
    """The settings of this process have to agree with its entry in the lists."""
    is_voter = control.role == VOTER
    list_name = "voters" if is_voter else "relays"
    own_list = control.voters if is_voter else control.relays
    other_list = control.relays if is_voter else control.voters
    if any(process.name == control.name for process in other_list):
        return f"control.role: {control.name!r} has another one by the lists"
    own = next((process for process in own_list if process.name == control.name), None)
    if own is None:
        is_required = is_voter or len(control.relays) > 0
        return (
            f"control.{list_name}: {control.name!r}, this process, is not among them" if is_required else None
        )
    if control.region and control.region != own.region:
        return f"control.region: {control.region!r}, but {own.region!r} in `{list_name}`"
    if control.zone and control.zone != own.zone:
        return f"control.zone: {control.zone!r}, but {own.zone!r} in `{list_name}`"
    return None
