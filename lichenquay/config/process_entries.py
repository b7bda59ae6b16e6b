"""Checks of names and addresses that sections of control processes and of gateways share."""

import re
from ipaddress import ip_address

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,23}\Z")  # short, as every datagram carries some
NOT_A_NAME = "is no name of 1 to 24 letters, digits, dots and dashes"
MAX_RELAYS = 1024


def parse_address(text: str) -> tuple[str, int]:
    """(address, port). Errors: ValueError for a text that is none."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65_536:
        raise ValueError(f"{text!r} is no address:port")
    return host, int(port)


def problem_with_identity(message, path: str) -> str | None:
    """The first problem with `fleet`, `name` and `listen` of a section, or None."""
    return problem_with_process_names(message, path) or problem_with_address(message.listen, f"{path}.listen")


def problem_with_process_names(message, path: str) -> str | None:
    """The first of `fleet`, `name` and `listen` that is missing, or of the first two that is no name."""
    for field in ("fleet", "name", "listen"):
        if not getattr(message, field):
            return f"{path}.{field}: missing"
    for field in ("fleet", "name"):
        if problem := problem_with_name(getattr(message, field), f"{path}.{field}"):
            return problem
    return None


def problem_with_name(name: str, path: str) -> str | None:
    """Why this cannot be a name, or None."""
    return None if NAME_PATTERN.match(name) else f"{path}: {name[:40]!r} {NOT_A_NAME}"


def problem_with_address(text: str, path: str, listen: str | None = None) -> str | None:
    """Why this cannot be an address:port (that a socket at `listen` can reach), or None.

    A host name is no address: nothing may be looked up while datagrams wait.
    """
    try:
        host = ip_address(parse_address(text)[0])
    except ValueError:
        return f"{path}: {text[:60]!r} is no address:port"
    if listen and host.version != ip_address(parse_address(listen)[0]).version:
        return f"{path}: {text!r} cannot be reached from {listen!r}"
    return None


def problem_with_relays(relays, path: str, listen: str) -> str | None:
    """The first problem with a list of relays, or None; a zone lies in one region."""
    if len(relays) > MAX_RELAYS:
        return f"{path}.relays: {len(relays)}, {MAX_RELAYS} at most"
    if problem := problem_with_processes(relays, f"{path}.relays", listen, ("region", "zone")):
        return problem
    region_by_zone = {}
    for index, relay in enumerate(relays):
        region = region_by_zone.setdefault(relay.zone, relay.region)
        if relay.region != region:
            return f"{path}.relays[{index}].region: zone {relay.zone!r} is in {region!r} at another relay"
    return None


def problem_with_processes(processes, path: str, listen: str, name_fields: tuple[str, ...]) -> str | None:
    """The first problem with a list of processes, or None; names and addresses are unique.

    `name_fields` are further fields that have to hold a name.
    """
    names = set()
    addresses = set()
    for index, process in enumerate(processes):
        here = f"{path}[{index}]"
        for field in ("name", *name_fields):
            if problem := problem_with_name(getattr(process, field), f"{here}.{field}"):
                return problem
        if problem := problem_with_address(process.address, f"{here}.address", listen):
            return problem
        if process.name in names:
            return f"{here}.name: {process.name!r} is another's"
        if process.address in addresses:
            return f"{here}.address: {process.address!r} is another's"
        names.add(process.name)
        addresses.add(process.address)
    return None
