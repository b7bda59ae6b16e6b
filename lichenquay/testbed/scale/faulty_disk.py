"""A disk that is full or slow when told to be, for a voter's folder."""

import errno
import time

from lichenquay.storage.file_system import FileSystem


class FaultyOs(FileSystem):
    """The system's calls; while `full`, nothing can be written, and each fsync takes `delay_ms` longer."""

    def __init__(self):
        """A disk without faults."""
        self.full, self.delay_ms = False, 0.0

    def write(self, fd, data):
        """Refused while the disk is full."""
        if self.full:
            raise OSError(errno.ENOSPC, "no space left on device")
        return super().write(fd, data)

    def fsync(self, fd):
        """Late while the disk is slow."""
        if self.delay_ms:
            time.sleep(self.delay_ms / 1000)
        super().fsync(fd)
