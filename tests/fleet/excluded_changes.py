"""Field changes that no honest process would have said: outside the assumption that nobody forges messages."""

import re

OUTSIDE = (  # (kind of message, field and change, why): patterns of whole texts
    ("members .*", r"(rows\[\d\]|ack)\.incarnation (\+1|most)", "nobody started that front"),
    ("members .*", r"(rows\[\d\]\.)?state LEFT", "it never left"),
    ("quota answer", r"answer\.rows\[\d\]\.granted_us (\+1|most)", "nobody granted it"),
    ("quota ask", r"ask\.rows\[\d\]\.spent_us (\+1|most)", "nobody spent it"),
    ("quota ask", r"ask\.rows\[\d\]\.sealed other", "its front still spends from that book"),
    ("owner round", r"round\.generation (\+1|most)", "no majority promised it"),
    ("quota answer", r"answer\.generation (\+1|most)", "nobody held it"),
)


def outside(kind, name, entries=OUTSIDE):
    return any(re.fullmatch(k, kind) and re.fullmatch(what, name) for k, what, _ in entries)
