"""What the kernel holds for a connection: bytes to send at once, unread input, and unacknowledged output."""

import fcntl
import struct
import termios
from collections.abc import Callable
from enum import Enum
from socket import MSG_DONTWAIT, MSG_PEEK


class Input(Enum):
    """What a read on a socket would return."""

    NOTHING = "nothing"  # it would have to wait
    BYTES = "bytes"
    END = "end"  # the peer has closed or reset the connection


def send_now(transport, data: bytes) -> bytes | memoryview:
    """Sends what the kernel accepts at once and returns the rest; the transport must have nothing unsent.

    Compared to `transport.write`, this saves a turn of the reactor and two epoll changes per message.
    """
    try:
        sent_bytes = transport.socket.send(data, MSG_DONTWAIT)
    except OSError:  # the buffer is full, or the connection broken, which the transport detects
        sent_bytes = 0
    return memoryview(data)[sent_bytes:] if sent_bytes < len(data) else b""


def unread_input(transport) -> Input:
    """Returns what has arrived and was not read yet; reads nothing."""
    try:
        data = transport.socket.recv(1, MSG_PEEK | MSG_DONTWAIT)
    except BlockingIOError:
        return Input.NOTHING
    except OSError:
        return Input.END
    return Input.BYTES if data else Input.END


def read_available(transport, may_read: Callable[[], bool], max_reads: int) -> Input:
    """Has the transport read what has arrived, while `may_read` returns true; returns what is left unread.

    The reactor calls timers that are due before it reads. A timer that judges what a peer has sent calls this
    first: bytes may have waited in the kernel since before the time-out. BYTES: reading stopped, and more may
    be left.
    """
    for _ in range(max_reads):
        if not may_read():
            return Input.BYTES
        unread = unread_input(transport)
        if unread is not Input.BYTES:
            return unread
        transport.doRead()
    return Input.BYTES


def unacknowledged_bytes(transport) -> int:
    """Returns how many sent bytes the peer has not acknowledged yet; 0 if the kernel does not report it."""
    try:
        buffer = fcntl.ioctl(transport.fileno(), termios.TIOCOUTQ, b"\0" * 4)
    except OSError:
        return 0
    return struct.unpack("i", buffer)[0]
