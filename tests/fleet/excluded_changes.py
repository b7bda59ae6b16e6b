"""Changes of message fields that no honest process would send. They are excluded, as the design assumes that
nobody forges messages.
"""

import re

# (pattern of the message's kind, pattern of the field and its change, why nobody sends it)
EXCLUDED_CHANGES = (
    ("members .*", r"(rows\[\d\]|ack)\.incarnation (\+1|most)", "no gateway ever had that incarnation"),
    ("members .*", r"(rows\[\d\]\.)?state LEFT", "that gateway never left"),
    ("quota answer", r"answer\.rows\[\d\]\.granted_us (\+1|most)", "no leader granted it"),
    ("quota ask", r"ask\.rows\[\d\]\.spent_us (\+1|most)", "no gateway spent it"),
    ("quota ask", r"ask\.rows\[\d\]\.sealed other", "its gateway still spends from that epoch"),
    ("owner round", r"round\.generation (\+1|most)", "no majority of voters promised it"),
    ("quota answer", r"answer\.generation (\+1|most)", "no leader held that generation"),
)


def is_excluded(kind, change, entries=EXCLUDED_CHANGES):
    """Returns whether a change of a message of this kind is excluded by one of the entries."""
    return any(
        re.fullmatch(kind_pattern, kind) and re.fullmatch(change_pattern, change)
        for kind_pattern, change_pattern, _ in entries
    )
