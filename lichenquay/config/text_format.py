"""Protobuf text format: parsing, range checks, and one-line errors that name file, line and cause."""

import re
from collections.abc import Iterator
from typing import NamedTuple

from google.protobuf import text_format

from lichenquay.config.errors import ConfigurationError
from lichenquay.config.ranges import RANGES

# Messages whose values count only if the message is given.
OPTIONAL_MESSAGE_FIELDS = {"gate", "fleet", "address", "prefix", "control", "distribution", "figures"}
# Sections without default values; their numbers count only if given.
SECTIONS_WITHOUT_DEFAULTS = ("gate", "front.gate", "fleet", "control", "distribution")


class GivenValue(NamedTuple):
    """A scalar value of a message, with its path."""

    path: str  # without list indices, as in `RANGES`
    indexed_path: str  # with list indices
    value: object


def parse(message, text: str, name: str):
    """Parses the text into `message` and returns it. Raises ConfigurationError, with the line if known."""
    try:
        return text_format.Parse(text, message)
    except text_format.ParseError as error:
        cause = str(error).partition(" : ")[2] or error
        raise ConfigurationError(f"{_location(name, error.GetLine())}: {cause}") from None


def raise_if_error(error: str | None, text: str, name: str) -> None:
    """Raises ConfigurationError, with the line of the path, if `error` (`path: cause`) is not None."""
    if error:
        raise ConfigurationError(f"{_location(name, _line_of(text, error))}: {error}")


def given_values(message, path: str = "") -> Iterator[GivenValue]:
    """Yields the scalar values that are given or have a default, including those of list elements."""
    for name in message.DESCRIPTOR.fields_by_name:
        value = getattr(message, name)
        field_path = f"{path}.{name}" if path else name
        if _is_list(value):
            if _is_list_of_messages(value):
                yield from _given_in_list(value, field_path)
        elif _is_message(value):
            if name not in OPTIONAL_MESSAGE_FIELDS or message.HasField(name):
                yield from given_values(value, field_path)
        elif not path.startswith(SECTIONS_WITHOUT_DEFAULTS) or message.HasField(name):
            yield GivenValue(field_path, field_path, value)


def find_range_error(message) -> str | None:
    """Returns an error for the first number that is out of its range, or None."""
    for path, indexed_path, value in given_values(message):
        if path not in RANGES:
            continue
        minimum, maximum = RANGES[path]
        if not minimum <= value <= maximum:
            return f"{indexed_path}: {value:g} is not between {minimum:g} and {maximum:g}"
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
            indexed_path = f"{path}[{index}]{inner.indexed_path[len(path) :]}"
            yield GivenValue(inner.path, indexed_path, inner.value)


def _location(name, line):
    return f"{name}:{line}" if line else name


def _line_of(text, error):
    """Returns the number of the line with the path that starts `error`, or None if it is not found."""
    position = 0
    path = error.partition(":")[0]
    for name, index in re.findall(r"(\w+)(?:\[(\d+)\])?", path):
        found = list(re.finditer(rf"\b{name}\b\s*[:{{]", text[position:]))
        if len(found) <= int(index or 0):
            return None
        position += found[int(index or 0)].start()
    return text.count("\n", 0, position) + 1
