"""Builds production's settings for the control processes and gateways of a scale run."""

from lichenquay.config import lichenquay_pb2 as pb
from lichenquay.testbed.scale.scenario import CONTROL_ZONE, Shape, zone_of_name
from lichenquay.testbed.scale.world_spec import FLEET, PREFIXES, WorldSpec

LOOPBACK_PORT = 10_000  # Port of a host's first gateway; below the ephemeral port range.


def address_text(address) -> str:
    """Returns an address in the form of the settings."""
    host, port = address
    return f"{host}:{port}"


def voters_of(spec: WorldSpec) -> list[pb.Voter]:
    """Returns the settings of all voters, in a region of their own."""
    return [
        pb.Voter(name=name, address=address_text(spec.addresses[name]), region=CONTROL_ZONE)
        for name in spec.shape.publisher_names()
    ]


def relays_of(spec: WorldSpec) -> list[pb.ZoneRelay]:
    """Returns the settings of all relays."""
    shape = spec.shape
    return [
        pb.ZoneRelay(
            name=name,
            address=address_text(spec.addresses[name]),
            region=shape.region_of(zone),
            zone=zone,
        )
        for zone in shape.zones
        for name in shape.relay_names(zone)
    ]


def control_settings(spec: WorldSpec, name: str) -> pb.Settings:
    """Returns the settings of one control process."""
    is_voter = name in spec.shape.publisher_names()
    control = pb.Control(
        fleet=FLEET,
        name=name,
        listen=address_text(spec.addresses[name]),
        role=pb.Control.VOTER if is_voter else pb.Control.RELAY,
        voters=voters_of(spec),
        relays=relays_of(spec),
    )
    if is_voter:
        control.folder = f"{spec.folder}/{name}"
    else:
        control.zone = zone_of_name(name)
    return pb.Settings(control=control)


def gateway_settings(spec: WorldSpec) -> pb.Distribution:
    """Returns the settings that all gateways of one host share: all but name, zone and listen."""
    return pb.Distribution(fleet=FLEET, relays=relays_of(spec), prefixes=PREFIXES, engines=True)


def gateway_listen_address(shape: Shape, loopback: str, name: str) -> str:
    """Returns a gateway's listen address: its host's own loopback address, with a port by its number."""
    number = int(name.rpartition("f")[2])
    return f"{loopback}:{LOOPBACK_PORT + number // shape.hosts}"
