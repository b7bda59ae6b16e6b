"""Checks of names and addresses, shared by the settings of control processes and of gateways."""

import re
from ipaddress import ip_address

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,23}\Z")  # short, as every datagram carries names
NAME_RULE = "1 to 24 letters, digits, dots, dashes and underscores, the first a letter or digit"
MAX_RELAYS = 1024


def parse_address(text: str) -> tuple[str, int]:
    """Returns (address, port). Raises ValueError if the text is not of the form address:port."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65_536:
        raise ValueError(f"{text!r} is not an address:port")
    return host, int(port)


def find_identity_error(message, path: str) -> str | None:
    """Returns the first error in `fleet`, `name` and `listen` of a section, or None."""
    return find_process_name_error(message, path) or find_address_error(message.listen, f"{path}.listen")


def find_process_name_error(message, path: str) -> str | None:
    """Returns an error if `fleet`, `name` or `listen` is missing, or one of the first two is invalid."""
    for field in ("fleet", "name", "listen"):
        if not getattr(message, field):
            return f"{path}.{field}: missing"
    for field in ("fleet", "name"):
        if error := find_name_error(getattr(message, field), f"{path}.{field}"):
            return error
    return None


def find_name_error(name: str, path: str) -> str | None:
    """Returns an error if the name is invalid, or None."""
    return None if NAME_PATTERN.match(name) else f"{path}: {name[:40]!r} is not a valid name ({NAME_RULE})"


def find_address_error(text: str, path: str, listen: str | None = None) -> str | None:
    """Returns an error if the text is not an address:port that a socket at `listen` can reach, or None.

    Host names are rejected: a name lookup would block the handling of datagrams.
    """
    try:
        host = ip_address(parse_address(text)[0])
    except ValueError:
        return f"{path}: {text[:60]!r} is not an address:port"
    if listen and host.version != ip_address(parse_address(listen)[0]).version:
        return f"{path}: {text!r} is not reachable from {listen!r}: another IP version"
    return None


def find_relay_list_error(relays, path: str, listen: str) -> str | None:
    """Returns the first error in a list of relays, or None. All relays of a zone must be in one region."""
    if len(relays) > MAX_RELAYS:
        return f"{path}.relays: {len(relays)} relays; at most {MAX_RELAYS} are allowed"
    if error := find_process_list_error(relays, f"{path}.relays", listen, ("region", "zone")):
        return error
    region_by_zone = {}
    for index, relay in enumerate(relays):
        region = region_by_zone.setdefault(relay.zone, relay.region)
        if relay.region != region:
            return (
                f"{path}.relays[{index}].region: another relay has zone {relay.zone!r} in region {region!r}"
            )
    return None


def find_process_list_error(processes, path: str, listen: str, name_fields: tuple[str, ...]) -> str | None:
    """Returns the first error in a list of processes, or None. Names and addresses must be unique.

    `name_fields` are the further fields that must hold valid names.
    """
    names = set()
    addresses = set()
    for index, process in enumerate(processes):
        entry_path = f"{path}[{index}]"
        for field in ("name", *name_fields):
            if error := find_name_error(getattr(process, field), f"{entry_path}.{field}"):
                return error
        if error := find_address_error(process.address, f"{entry_path}.address", listen):
            return error
        if process.name in names:
            return f"{entry_path}.name: {process.name!r} is a duplicate"
        if process.address in addresses:
            return f"{entry_path}.address: {process.address!r} is a duplicate"
        names.add(process.name)
        addresses.add(process.address)
    return None
