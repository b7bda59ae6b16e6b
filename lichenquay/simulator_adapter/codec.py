"""The bench's lines: reading fields and writing actions. Nothing is decided here."""

from lichenquay.deployment_settings import SettingsSection


class Malformed(Exception):
    """Input that does not follow the wire; the text names the line and the field."""


class Fields(SettingsSection):
    """One line: its tag and its name=value parts."""

    __slots__ = ("line", "tag")

    def __init__(self, line, text):
        tag, _, rest = text.partition("\t")
        super().__init__(dict([p.partition("=")[::2] for p in rest.split("\t")]) if rest else {})
        self.line, self.tag = line, tag

    def bad(self, name, why):
        return Malformed(f"line {self.line}: {self.tag}: {name}: {why}")

    def report(self, name):
        """A load report: name:value pairs; a missing one is None."""
        value = self.parts.get(name)
        if not value:
            return None
        try:
            return {k: float(v) for k, _, v in (p.partition(":") for p in value.split(",")) if v}
        except ValueError:
            raise self.bad(name, f"unreadable: {value!r}") from None


def plain(text):
    """Text fit for one line of the wire."""
    return " ".join(str(text).split())


def us(ms):
    return str(int(round(ms * 1000)))
