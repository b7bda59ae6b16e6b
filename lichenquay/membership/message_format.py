"""Messages between members: built within a datagram's bounds, and what of a message can be believed at all.

Bounds: a body is at most `MAX_BODY` bytes (the envelope takes the rest of a datagram under 1,200); a name at most
`MAX_NAME` bytes of UTF-8; an incarnation under 2^48 (Unix milliseconds up to the year 10889) where others tell it,
under 2^53 from the front itself: so whatever was believed of a front by mistake, it can come again above it. A word
under 2^40. What passes them is dropped and counted.
"""

from lichenquay.membership import members_pb2 as pb

MAX_BODY, MAX_NAME, MAX_BY = 1_090, 64, 4
MAX_TOLD, MAX_INCARNATION, MAX_WORD = 2**48, 2**53, 2**40
MAX_SILENT_MS = 3_600_000
PARTS = 32


class TooLong(ValueError):
    """A body passes `MAX_BODY`: a fault of this program, not of the network."""


def good_name(name):
    return isinstance(name, str) and len(name) > 0 and len(name.encode("utf-8", "replace")) <= MAX_NAME


def good_row(row, known=0):
    """Whether a row that came in lies within the bounds; `known`: an incarnation known of it by better evidence."""
    return (
        good_name(row.name)
        and (0 < row.incarnation < MAX_TOLD or 0 < row.incarnation == known)
        and row.word < MAX_WORD
        and 0 <= row.state <= pb.GONE
        and len(row.by) <= MAX_BY
        and all(good_name(b) for b in row.by)
    )


def row_of(member, silent_ms=0):
    """The row of a table's member; `silent_ms` counts for a suspect only."""
    row = pb.Row(name=member.name, incarnation=member.incarnation, word=member.word, state=member.state)
    if member.state == pb.SUSPECT:
        row.by.extend(list(member.accusers)[:MAX_BY])
        row.silent_ms = int(min(max(silent_ms, 0), MAX_SILENT_MS))
    return row


def fill(message, rows):
    """Adds as many of `rows`, in their order, as the body bears; returns how many."""
    room, took = MAX_BODY - message.ByteSize(), 0
    for row in rows:
        room -= row.ByteSize() + 3  # Its tag and length.
        if room < 0:
            break
        message.rows.append(row)
        took += 1
    return took


def checked(message):
    """The message, surely within its bound. Raises TooLong."""
    if message.ByteSize() > MAX_BODY:
        raise TooLong(f"a body of {message.ByteSize()} bytes")
    return message
