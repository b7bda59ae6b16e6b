"""Checks of the values that gateways apply: the same at the publisher and at each gateway."""

from lichenquay.config.endpoint_list import (
    COMPLETE_KEY,
    ENGINE_PREFIX,
    problem_with_completeness,
    problem_with_endpoint,
)
from lichenquay.config.errors import ConfigurationError
from lichenquay.config.reader import read_gate

GATE_KEY = "config/gate"  # protobuf text of the `Gate` settings


def parse_gate(value: bytes):
    """The `Gate` message that a value holds. Errors: ConfigurationError."""
    try:
        text = value.decode("utf-8")
    except UnicodeDecodeError as error:
        raise ConfigurationError(f"{GATE_KEY}: not UTF-8 text at byte {error.start}") from None
    return read_gate(text, GATE_KEY)


def problem_with_value(key: str, value: bytes) -> str | None:
    """Why a value cannot be applied under this key, or None. Keys that no gateway reads may hold anything."""
    if key == COMPLETE_KEY:
        return problem_with_completeness(value)
    if key != GATE_KEY:
        return None
    try:
        parse_gate(value)
    except ConfigurationError as error:
        return str(error)
    return None


CHECKS_BY_PREFIX = {"config/": problem_with_value, ENGINE_PREFIX: problem_with_endpoint}
