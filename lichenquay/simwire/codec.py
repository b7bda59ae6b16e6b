"""The bench's lines: reading fields and writing actions. Nothing is decided here."""


class Malformed(Exception):
    """Input that does not follow the wire; the text names the line and the field."""


class Fields:
    """One line: its tag and its name=value parts. Unknown names are left alone."""

    __slots__ = ("line", "tag", "parts")

    def __init__(self, line, text):
        tag, _, rest = text.partition("\t")
        self.line, self.tag = line, tag
        self.parts = dict([p.partition("=")[::2] for p in rest.split("\t")]) if rest else {}

    def bad(self, name, why):
        return Malformed(f"line {self.line}: {self.tag}: {name}: {why}")

    def text(self, name, otherwise=None):
        value = self.parts.get(name)
        if value is None:
            if otherwise is None:
                raise self.bad(name, "missing")
            return otherwise
        return value

    def number(self, name, otherwise=None):
        value = self.text(name, otherwise)
        try:
            got = float(value)
        except ValueError:
            got = float("nan")
        if got != got or got in (float("inf"), float("-inf")):
            raise self.bad(name, f"not a number: {value!r}")
        return got

    def integer(self, name, otherwise=None):
        value = self.text(name, otherwise)
        try:
            return int(value)
        except ValueError:
            raise self.bad(name, f"not a whole number: {value!r}") from None

    def ms(self, name, otherwise=None):
        return self.integer(name, otherwise) / 1000

    def flag(self, name, otherwise=None):
        value = self.text(name, otherwise)
        if value in ("1", "true"):
            return True
        if value in ("0", "false"):
            return False
        raise self.bad(name, f"not a yes or no: {value!r}")

    def words(self, name):
        value = self.parts.get(name, "")
        return value.split(",") if value else []

    def flags(self, name):
        return [w in ("1", "true") for w in self.words(name)]

    def numbers(self, name):
        try:
            return [float(w) for w in self.words(name)]
        except ValueError:
            raise self.bad(name, "not numbers") from None

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
