"""Reads typed values from named text fields: a section of the settings, or one line of a wire format."""

from collections import defaultdict
from collections.abc import Iterator, Mapping
from math import isfinite

TRUE_WORDS = ("1", "true")
FALSE_WORDS = ("0", "false")
MICROSECONDS_PER_MS = 1000


class SettingsError(ValueError):
    """A setting is missing or is not valid; the text names the section, the setting and its value."""


class FieldReader:
    """Named text fields and what they mean. Fields that nobody asks for are left alone.

    Each method takes a field's name and the default for a missing one; without a default, a missing field is
    an error, as is one that cannot be read.
    """

    __slots__ = ("fields",)

    def __init__(self, fields: Mapping[str, str]):
        """`fields`: text by name."""
        self.fields = fields

    def error(self, name: str, problem: str) -> Exception:
        """The error to raise for a field; `problem` follows its name in the text."""
        raise NotImplementedError

    def has(self, name: str) -> bool:
        """Whether the field is there."""
        return name in self.fields

    def text(self, name: str, default: str | None = None) -> str:
        """The field as it is."""
        value = self.fields.get(name)
        if value is not None:
            return value
        if default is None:
            raise self.error(name, "is missing")
        return default

    def number(self, name: str, default: float | None = None) -> float:
        """A finite number."""
        value = self.text(name, default)
        try:
            number = float(value)
        except ValueError:
            number = None
        if number is None or not isfinite(number):
            raise self.error(name, f"is {value!r}, expected a number")
        return number

    def integer(self, name: str, default: int | None = None) -> int:
        """A whole number."""
        value = self.text(name, default)
        try:
            return int(value)
        except ValueError:
            raise self.error(name, f"is {value!r}, expected a whole number") from None

    def milliseconds(self, name: str, default: int | None = None) -> float:
        """A time in milliseconds; the field and the default are in whole microseconds."""
        return self.integer(name, default) / MICROSECONDS_PER_MS

    def flag(self, name: str, default: str | None = None) -> bool:
        """A yes or no; the default is a word too."""
        value = self.text(name, default)
        if value in TRUE_WORDS:
            return True
        if value in FALSE_WORDS:
            return False
        raise self.error(name, f"is {value!r}, expected true or false")

    def words(self, name: str) -> list[str]:
        """Words separated by commas; none where the field is missing."""
        value = self.fields.get(name, "")
        return value.split(",") if value else []

    def flags(self, name: str) -> list[bool]:
        """Flags separated by commas; a word that is no flag counts as no."""
        return [word in TRUE_WORDS for word in self.words(name)]

    def numbers(self, name: str) -> list[float]:
        """Numbers separated by commas."""
        try:
            return [float(word) for word in self.words(name)]
        except ValueError:
            raise self.error(name, f"is {self.fields[name]!r}, expected numbers") from None


class SettingsSection(FieldReader):
    """A section of the settings, with a label that its errors name."""

    __slots__ = ("label",)

    def __init__(self, fields: Mapping[str, str], label: str = ""):
        """`label`: such as "class 'stocktake'"; empty for the settings as a whole."""
        super().__init__(fields)
        self.label = label

    @classmethod
    def from_json(cls, value: object) -> "SettingsSection":
        """The settings as a whole, from the JSON that holds them."""
        return cls(flatten(value))

    def error(self, name: str, problem: str) -> SettingsError:
        """As in `FieldReader`, with the section's label."""
        return SettingsError(f"{self.label}: '{name}' {problem}" if self.label else f"'{name}' {problem}")

    def subsection(self, name: str) -> "SettingsSection":
        """The fields whose names begin with the name and a dot; empty where there are none."""
        prefix = f"{name}."
        fields = {
            field.removeprefix(prefix): value
            for field, value in self.fields.items()
            if field.startswith(prefix)
        }
        return SettingsSection(fields, name)

    def listed(self, name: str, label: str) -> Iterator["SettingsSection"]:
        """The numbered sections of a list, each labelled by its own name, such as "class 'stocktake'".

        One pass sorts the fields by section; with a pass for each section, a thousand would take seconds.
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
    """Nested JSON as named text fields.

    Names are joined by dots; plain lists are joined by commas; lists of objects are numbered from 0, with
    their number as `count`. Null values are left out.
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
