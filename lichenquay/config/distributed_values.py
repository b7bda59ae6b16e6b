"""Values that fronts put in force: one check, by the publisher and by each front."""

from lichenquay.config.endpoint_list import COMPLETE_KEY, ENGINE_PREFIX, fault_of_complete, fault_of_engine
from lichenquay.config.reader import BadSettings, read_gate

GATE_KEY = "config/gate"  # protobuf text of the `Gate` settings


def gate_of(value):
    """The gate that a value says. Errors: BadSettings, in one line."""
    try:
        text = value.decode("utf-8")
    except UnicodeDecodeError as bad:
        raise BadSettings(f"{GATE_KEY}: not UTF-8 text at byte {bad.start}") from None
    return read_gate(text, GATE_KEY)


def fault_of_value(key, value):
    """Why a value of this key cannot be put in force, or None. Keys that no front reads may hold anything."""
    if key == COMPLETE_KEY:
        return fault_of_complete(value)
    if key != GATE_KEY:
        return None
    try:
        gate_of(value)
    except BadSettings as bad:
        return str(bad)
    return None


KINDS = {"config/": fault_of_value, ENGINE_PREFIX: fault_of_engine}  # as distribution.check takes them
