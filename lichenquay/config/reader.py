"""Reads and checks settings in protobuf text format; an invalid file raises a one-line error."""

from collections.abc import Callable
from os import PathLike

from lichenquay.config import lichenquay_pb2 as pb
from lichenquay.config.connection_admission_settings import find_connection_admission_error
from lichenquay.config.control_settings import find_control_error
from lichenquay.config.distribution_settings import find_distribution_error
from lichenquay.config.errors import ConfigurationError
from lichenquay.config.fleet_settings import find_fleet_error
from lichenquay.config.testbed_settings import read_testbed
from lichenquay.config.text_format import find_range_error, parse, raise_if_error


def read_settings(text: str, name: str = "settings"):
    """Returns the settings of a gateway or control process. Raises ConfigurationError."""
    settings = parse(pb.Settings(), text, name)
    raise_if_error(_find_settings_error(settings), text, name)
    return settings


def read_control(text: str, name: str = "settings"):
    """Returns the settings of a control process. Raises ConfigurationError, also without `control`."""
    settings = read_settings(text, name)
    error = None if settings.HasField("control") else "control: missing"
    raise_if_error(error, text, name)
    return settings


def read_gate(text: str, name: str = "gate"):
    """Returns a single `Gate` message, checked as in a settings file. Raises ConfigurationError."""
    gate = parse(pb.Gate(), text, name)
    error = find_range_error(pb.Settings(gate=gate)) or find_connection_admission_error(gate, "gate")
    raise_if_error(error, text, name)
    return gate


def read_file(path: str | PathLike, read: Callable = read_testbed):
    """Returns the settings in a file, parsed by `read`. Raises ConfigurationError, also if unreadable."""
    try:
        with open(path, encoding="utf-8") as file:
            return read(file.read(), str(path))
    except OSError as error:
        raise ConfigurationError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise ConfigurationError(f"{path}: not UTF-8 text at byte {error.start}") from None


def _find_settings_error(settings):
    error = find_range_error(settings) or find_connection_admission_error(settings.gate, "gate")
    if not error and settings.HasField("fleet"):
        error = find_fleet_error(settings.fleet)
    if not error and settings.HasField("control"):
        error = find_control_error(settings)
    if not error and settings.HasField("distribution"):
        error = find_distribution_error(settings)
    return error
