"""Reads typed values from named text fields: a section of the settings, or one line of a wire format."""

from collections import defaultdict
from collections.abc import Iterator, Mapping
from math import isfinite

TRUE_WORDS = ("1", "true")
FALSE_WORDS = ("0", "false")
MICROSECONDS_PER_MS = 1000


class SettingsError(ValueError):
    """A setting is missing or invalid; the message names the section, the setting and its value."""


class FieldReader:
    """Named text fields, read by type. Fields that are never read are ignored.

    Each method takes a field's name and the default for a missing field. A missing field without a default,
    or a field that cannot be read, raises the exception that `error` returns.
    """

    __slots__ = ("fields",)

    def __init__(self, fields: Mapping[str, str]):
        """Takes `fields`: text by name."""
        self.fields = fields

    def error(self, name: str, problem: str) -> Exception:
        """Returns the exception to raise for a field; `problem` follows the field's name in the message."""
        raise NotImplementedError

    def has(self, name: str) -> bool:
        """Returns whether the field is present."""
        return name in self.fields

    def text(self, name: str, default: str | None = None) -> str:
        """Returns the field's text unchanged."""
        value = self.fields.get(name)
        if value is not None:
            return value
        if default is None:
            raise self.error(name, "is missing")
        return default

    def number(self, name: str, default: float | None = None) -> float:
        """Returns a finite number."""
        value = self.text(name, default)
        try:
            number = float(value)
        except ValueError:
            number = None
        if number is None or not isfinite(number):
            raise self.error(name, f"is {value!r}, expected a number")
        return number

    def integer(self, name: str, default: int | None = None) -> int:
        """Returns a whole number."""
        value = self.text(name, default)
        try:
            return int(value)
        except ValueError:
            raise self.error(name, f"is {value!r}, expected a whole number") from None

    def milliseconds(self, name: str, default: int | None = None) -> float:
        """Returns a time in milliseconds; the field and the default are in whole microseconds."""
        return self.integer(name, default) / MICROSECONDS_PER_MS

    def flag(self, name: str, default: str | None = None) -> bool:
        """Returns a boolean; the default is given as text too."""
        value = self.text(name, default)
        if value in TRUE_WORDS:
            return True
        if value in FALSE_WORDS:
            return False
        raise self.error(name, f"is {value!r}, expected true or false")

    def words(self, name: str) -> list[str]:
        """Returns words separated by commas; an empty list if the field is missing."""
        value = self.fields.get(name, "")
        return value.split(",") if value else []

    def flags(self, name: str) -> list[bool]:
        """Returns booleans separated by commas; any word that is not true counts as false."""
        return [word in TRUE_WORDS for word in self.words(name)]

    def numbers(self, name: str) -> list[float]:
        """Returns numbers separated by commas."""
        try:
            return [float(word) for word in self.words(name)]
        except ValueError:
            raise self.error(name, f"is {self.fields[name]!r}, expected numbers") from None


class SettingsSection(FieldReader):
    """A section of the settings, with a label that its errors name."""

    __slots__ = ("label",)

    def __init__(self, fields: Mapping[str, str], label: str = ""):
        """Takes `label`, such as "class 'stocktake'"; empty for the settings as a whole."""
        super().__init__(fields)
        self.label = label

    @classmethod
    def from_json(cls, value: object) -> "SettingsSection":
        """Creates the section of all settings from decoded JSON."""
        return cls(flatten(value))

    def error(self, name: str, problem: str) -> SettingsError:
        """Returns the exception as in `FieldReader`, with the section's label."""
        return SettingsError(f"{self.label}: '{name}' {problem}" if self.label else f"'{name}' {problem}")

    def subsection(self, name: str) -> "SettingsSection":
        """Returns the fields whose names start with `name` and a dot; empty if there are none."""
        prefix = f"{name}."
        fields = {
            field.removeprefix(prefix): value
            for field, value in self.fields.items()
            if field.startswith(prefix)
        }
        return SettingsSection(fields, name)

    def listed(self, name: str, label: str) -> Iterator["SettingsSection"]:
        """Yields the numbered sections of a list, each labelled by its own name.

        An example of a label is "class 'stocktake'". One pass sorts the fields by section; with one pass per
        section, a thousand sections would take seconds.
        """
        fields_by_number: dict[str, dict[str, str]] = defaultdict(dict)
        for field, value in self.subsection(name).fields.items():
            number, _, inner_name = field.partition(".")
            fields_by_number[number][inner_name] = value
        for index in range(self.integer(f"{name}.count", 0)):
            section = SettingsSection(fields_by_number[str(index)], f"{label} {index}")
            if section.has("name"):
                section.label = f"{label} {section.text('name')!r}"
            yield section


def _plain_text(value: object) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)


def flatten(value: object, path: str = "", fields: dict[str, str] | None = None) -> dict[str, str]:
    """Returns nested JSON as named text fields.

    Names are joined by dots; plain lists are joined by commas; lists of objects are numbered from 0, with
    their length as `count`. Null values are omitted.
    """
    fields = {} if fields is None else fields
    if isinstance(value, dict):
        for name, inner in value.items():
            flatten(inner, f"{path}.{name}" if path else name, fields)
    elif isinstance(value, list) and any(isinstance(inner, dict) for inner in value):
        fields[f"{path}.count"] = str(len(value))
        for index, inner in enumerate(value):
            flatten(inner, f"{path}.{index}", fields)
    elif isinstance(value, list):
        fields[path] = ",".join(_plain_text(inner) for inner in value)
    elif value is not None:
        fields[path] = _plain_text(value)
    return fields
