"""What a candidate or holder knows of one voter. No I/O."""

from collections import OrderedDict

INF = float("inf")


class Peer:
    """A voter as the holder knows it."""

    def __init__(self):
        """Nothing is known of it yet; times are in ms, -inf where it has not happened."""
        self.position = None  # on its disk, by its last word; None: it granted nothing
        self.whole = None  # its state, where it granted
        self.number = 0  # of the last round that it answered
        self.kept = -1  # its last record under this generation
        self.waits_ms = (
            -INF
        )  # sending of the latest round that it answered: it waits for a lease from there on
        self.sent = OrderedDict()  # number -> (sent, token)
        self.pending_ms = None  # sending of records or an offer that it has not answered
        self.asked_ms = -INF  # sending of the last claim
        self.birth = 0  # of a blank one
        self.refused = None  # how long it said to wait
