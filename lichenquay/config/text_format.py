"""Protobuf text format: parsing, range checks, and one-line errors that name file, line and cause."""

import re
from collections.abc import Iterator
from typing import NamedTuple

from google.protobuf import text_format

from lichenquay.config.errors import ConfigurationError
from lichenquay.config.ranges import RANGES

# Messages that may be left out whole.
OPTIONAL_MESSAGES = {"gate", "fleet", "address", "prefix", "control", "distribution", "figures"}
# Sections without default values: a number counts only where it is given.
SECTIONS_WITHOUT_DEFAULTS = ("gate", "front.gate", "fleet", "control", "distribution")


class GivenValue(NamedTuple):
    """One plain value of a message."""

    path: str  # without list indices, as in `RANGES`
    shown_path: str  # with list indices
    value: object


def parse(message, text: str, name: str):
    """Fills `message` from the text. Errors: ConfigurationError, with the line where the parser knows it."""
    try:
        return text_format.Parse(text, message)
    except text_format.ParseError as error:
        cause = str(error).partition(" : ")[2] or error
        raise ConfigurationError(f"{_location(name, error.GetLine())}: {cause}") from None


def raise_on_problem(problem: str | None, text: str, name: str) -> None:
    """Errors: ConfigurationError if `problem` (`path: cause`) is one; it names the line of the path."""
    if problem:
        raise ConfigurationError(f"{_location(name, _line_of(text, problem))}: {problem}")


def given_values(message, path: str = "") -> Iterator[GivenValue]:
    """The plain values that are given or have a default, list elements one by one."""
    for name in message.DESCRIPTOR.fields_by_name:
        value = getattr(message, name)
        field_path = f"{path}.{name}" if path else name
        if _is_list(value):
            if _is_list_of_messages(value):
                yield from _given_in_list(value, field_path)
        elif _is_message(value):
            if name not in OPTIONAL_MESSAGES or message.HasField(name):
                yield from given_values(value, field_path)
        elif not path.startswith(SECTIONS_WITHOUT_DEFAULTS) or message.HasField(name):
            yield GivenValue(field_path, field_path, value)


def problem_with_ranges(message) -> str | None:
    """The first number that is out of its range, or None."""
    for path, shown_path, value in given_values(message):
        if path not in RANGES:
            continue
        least, most = RANGES[path]
        if not least <= value <= most:
            return f"{shown_path}: {value:g} is not between {least:g} and {most:g}"
    return None


def _is_message(value):
    return hasattr(value, "DESCRIPTOR")


def _is_list(value):
    return hasattr(value, "append")


def _is_list_of_messages(value):
    return hasattr(value, "add")


def _given_in_list(messages, path):
    for index, element in enumerate(messages):
        for inner in given_values(element, path):
            shown_path = f"{path}[{index}]{inner.shown_path[len(path) :]}"
            yield GivenValue(inner.path, shown_path, inner.value)


def _location(name, line):
    return f"{name}:{line}" if line else name


def _line_of(text, problem):
    """The number of the line that holds the problem's path (`groups[1].target_ms: ...`), or None."""
    position = 0
    path = problem.partition(":")[0]
    for name, index in re.findall(r"(\w+)(?:\[(\d+)\])?", path):
        found = list(re.finditer(rf"\b{name}\b\s*[:{{]", text[position:]))
        if len(found) <= int(index or 0):
            return None
        position += found[int(index or 0)].start()
    return text.count("\n", 0, position) + 1
