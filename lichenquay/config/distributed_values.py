"""Checks of distributed values, shared by the publisher and the gateways that apply them."""

from lichenquay.config.endpoint_list import (
    COMPLETE_KEY,
    ENGINE_PREFIX,
    find_completeness_error,
    find_endpoint_error,
)
from lichenquay.config.errors import ConfigurationError
from lichenquay.config.reader import read_gate

GATE_KEY = "config/gate"  # protobuf text of the `Gate` settings


def parse_gate(value: bytes):
    """Parses the `Gate` message in a value. Raises ConfigurationError."""
    try:
        text = value.decode("utf-8")
    except UnicodeDecodeError as error:
        raise ConfigurationError(f"{GATE_KEY}: not UTF-8 text at byte {error.start}") from None
    return read_gate(text, GATE_KEY)


def find_value_error(key: str, value: bytes) -> str | None:
    """Returns why the value is invalid for the key, or None. Keys that no gateway reads are not checked."""
    if key == COMPLETE_KEY:
        return find_completeness_error(value)
    if key != GATE_KEY:
        return None
    try:
        parse_gate(value)
    except ConfigurationError as error:
        return str(error)
    return None


CHECKS_BY_PREFIX = {"config/": find_value_error, ENGINE_PREFIX: find_endpoint_error}
