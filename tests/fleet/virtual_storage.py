"""Stand-ins for the folder and the writer of lichenquay.storage, on disks in memory."""


class Disk:
    """The stored state of a folder. `mode`: healthy, full (writes fail and say so), unsure (written but
    reported as failed) or slow.
    """

    def __init__(self):
        """Starts empty."""
        self.state, self.mode, self.free_ms = {}, "healthy", 0.0


class MemoryFolder:
    """A stand-in for the folder of lichenquay.storage, on a Disk."""

    def __init__(self, disk):
        """Reads the disk's state."""
        self.disk, self.state, self.is_open, self.last_error, self.incarnation = (
            disk,
            dict(disk.state),
            True,
            None,
            0,
        )

    def append(self, changes):
        """Applies changes {key: value, None to delete} to the state and the disk."""
        for key, value in changes.items():
            for state in (self.state, self.disk.state):
                state.pop(key, None) if value is None else state.__setitem__(key, value)

    def flush(self, now_ms):
        """Does nothing: all is stored at once."""

    def close(self):
        """Does nothing: no file is open."""


class MemoryWriter:
    """A stand-in for the writer of lichenquay.storage: stores one write after the other, and reports each in
    the reactor.
    """

    def __init__(self, reactor, folder):
        """Writes to the folder's disk."""
        self.reactor, self.disk, self.folder, self.counts, self.last_error = (
            reactor,
            folder.disk,
            folder,
            {},
            None,
        )

    def store(self, changes, done):
        """Stores changes after the disk's delay; calls `done(succeeded)`."""
        world, mode = self.reactor.world, self.disk.mode
        duration_ms = world.rng.uniform(1.0, 4.0) if mode != "slow" else world.rng.uniform(60, 120)
        self.disk.free_ms = max(world.now_ms, self.disk.free_ms) + duration_ms

        def written():
            if mode != "full":
                self.folder.append(changes)
            done(mode in ("healthy", "slow"))

        self.reactor.at(self.disk.free_ms, written)

    def close(self, within_ms):
        """Returns that nothing is pending."""
        return True
