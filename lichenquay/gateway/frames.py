"""Frames between clients and fronts (the operators' PROTOCOL): reading and writing, free of I/O.

What is read is a slice of the buffer that it came in; only an unfinished frame is kept, as a copy.
"""

import struct

QUERY, ANSWER, LEFT, IS_READY, READINESS, NO_MORE = 2, 4, 8, 16, 32, 64
FINISHED, DEFERRED, KILLED = 0, 14, 2  # the codes of an answer
# the fields of a request, in our words
FIELDS = {
    "service": "group",
    "ref": "ref",
    "allow": "allowed",
    "project": "tenant",
    "effort": "work",
    "memory": "memory",
    "replay": "token",
    "lookup": "key",
}
OPTIONAL = {"token", "key"}  # said where a query's class is tokened, or its queries keep an order
LEAST, MOST = 5, 262_144  # PROTOCOL: what `length` may count
LENGTH, HEAD, SIZE = struct.Struct("<I"), struct.Struct("<IBI"), struct.Struct("<H")


class BadFrame(ValueError):
    """Bytes that are no frame; the text says why."""


class FrameReader:
    """Whole frames out of what a connection delivers, cut anywhere."""

    __slots__ = ("held", "need")

    def __init__(self):
        self.held, self.need = None, LENGTH.size

    def unfinished(self):
        return len(self.held or b"")

    def feed(self, data):
        """Yields (type, stream, payload); a payload is a slice, good until the next read."""
        if self.held is not None:
            self.held += data
            if len(self.held) < self.need:
                return
            data, self.held = self.held, None
        view, at, end = memoryview(data), 0, len(data)
        while True:
            if end - at < LENGTH.size:
                self.need = LENGTH.size
                break
            length = LENGTH.unpack_from(view, at)[0]
            if not LEAST <= length <= MOST:
                raise BadFrame(f"a frame of {length} bytes")
            self.need = LENGTH.size + length
            if end - at < self.need:
                break
            _, kind, stream = HEAD.unpack_from(view, at)
            yield kind, stream, view[at + HEAD.size : at + self.need]
            at += self.need
        if at < end:
            self.held = bytearray(view[at:])


def read_fields(payload):
    """The fields, as a list of (name, value) texts, and the rest of the payload."""
    try:
        count, at, fields = payload[0], 1, []
        for _ in range(count):
            size = payload[at]
            name, at = payload[at + 1 : at + 1 + size], at + 1 + size
            size = SIZE.unpack_from(payload, at)[0]
            value, at = payload[at + 2 : at + 2 + size], at + 2 + size
            if at > len(payload):
                raise BadFrame("fields overrun their frame")
            fields.append((str(name, "utf-8", "replace"), str(value, "utf-8", "replace")))
        return fields, payload[at:]
    except (IndexError, struct.error):
        raise BadFrame("fields overrun their frame") from None


def read_query(payload):
    """What a request says, in our words; a name that it says twice; its statement. Unknown fields are left alone."""
    fields, body = read_fields(payload)
    said, twice = {}, None
    for name, value in fields:
        name = FIELDS.get(name)
        if name in said:
            twice = name
        if name:
            said[name] = value
    return said, twice, body


def write_fields(fields):
    parts = [bytes([len(fields)])]
    for name, value in fields:
        name, value = name.encode(), value.encode()
        parts += bytes([len(name)]), name, SIZE.pack(len(value)), value
    return b"".join(parts)


def frame(kind, stream, *payload):
    """A frame, its payload given in pieces."""
    return b"".join((HEAD.pack(LEAST + sum(map(len, payload)), kind, stream), *payload))


def answer(stream, code, *body):
    return frame(ANSWER, stream, bytes([code, 0]), *body)


def readiness(stream, code):
    return frame(READINESS, stream, bytes([code, 0]))
