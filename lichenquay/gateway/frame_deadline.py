"""When a client's frame is overdue: the first one of a connection, or one of which a part has arrived."""

FRAME_TIMEOUT_S = 2.0  # an answer or a close is due within 3 s
# Further checks of an overdue frame of which more was found each time: a large frame does not fit in the
# kernel's buffers at once, and its rest arrives only as these are read.
MAX_FURTHER_CHECKS = 2


class FrameDeadline:
    """The deadline of one connection's current frame. Times are seconds of one monotonic clock.

    started_s: when the connection was opened, or the first part of the current frame was read.
    has_received_frame: a complete frame was received on the connection.
    """

    def __init__(self, now_s: float):
        """Starts with the connection, on which the first frame is due."""
        self.started_s = now_s
        self.has_received_frame = False
        self._further_checks = 0

    def on_frame(self, now_s: float) -> None:
        """Records a complete frame."""
        self.has_received_frame = True
        self.restart(now_s)

    def restart(self, now_s: float) -> None:
        """Records the first part of a frame."""
        self.started_s = now_s
        self._further_checks = 0

    def is_overdue(self, now_s: float, has_part: bool) -> bool:
        """Returns whether a frame is overdue; `has_part`: a part of one has been read."""
        is_due = has_part or not self.has_received_frame
        return is_due and now_s - self.started_s > FRAME_TIMEOUT_S

    def extend(self) -> bool:
        """Returns whether an overdue frame, of which more was just read, is given a further check."""
        self._further_checks += 1
        return self._further_checks <= MAX_FURTHER_CHECKS
