"""Reads settings in protobuf text format: a whole checked file, or one line that says what is wrong."""

from collections.abc import Callable
from os import PathLike

from lichenquay.config import lichenquay_pb2 as pb
from lichenquay.config.connection_admission_settings import problem_with_connection_admission
from lichenquay.config.control_settings import problem_with_control
from lichenquay.config.distribution_settings import problem_with_distribution
from lichenquay.config.errors import ConfigurationError
from lichenquay.config.fleet_settings import problem_with_fleet
from lichenquay.config.testbed_settings import read_testbed
from lichenquay.config.text_format import parse, problem_with_ranges, raise_on_problem


def read_settings(text: str, name: str = "settings"):
    """A gateway's settings beyond the platform's JSON. Errors: ConfigurationError."""
    settings = parse(pb.Settings(), text, name)
    raise_on_problem(_problem_with_settings(settings), text, name)
    return settings


def read_control(text: str, name: str = "settings"):
    """A control process's settings: a file with a `control` section. Errors: ConfigurationError."""
    settings = read_settings(text, name)
    problem = None if settings.HasField("control") else "control: missing"
    raise_on_problem(problem, text, name)
    return settings


def read_gate(text: str, name: str = "gate"):
    """A `Gate` message alone, checked as in a file. Errors: ConfigurationError."""
    gate = parse(pb.Gate(), text, name)
    problem = problem_with_ranges(pb.Settings(gate=gate)) or problem_with_connection_admission(gate, "gate")
    raise_on_problem(problem, text, name)
    return gate


def read_file(path: str | PathLike, read: Callable = read_testbed):
    """The settings in a file, as `read` makes them. Errors: ConfigurationError, also if it is unreadable."""
    try:
        with open(path, encoding="utf-8") as file:
            return read(file.read(), str(path))
    except OSError as error:
        raise ConfigurationError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise ConfigurationError(f"{path}: not UTF-8 text at byte {error.start}") from None


def _problem_with_settings(settings):
    problem = problem_with_ranges(settings) or problem_with_connection_admission(settings.gate, "gate")
    if not problem and settings.HasField("fleet"):
        problem = problem_with_fleet(settings.fleet)
    if not problem and settings.HasField("control"):
        problem = problem_with_control(settings)
    if not problem and settings.HasField("distribution"):
        problem = problem_with_distribution(settings)
    return problem
