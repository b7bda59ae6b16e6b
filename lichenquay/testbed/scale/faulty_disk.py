"""A file system for a voter's folder that can be made full or slow."""

import errno
import time

from lichenquay.storage.file_system import FileSystem


class FaultyOs(FileSystem):
    """Makes the system's calls; while `full`, writes fail, and each fsync takes `delay_ms` longer."""

    def __init__(self):
        """Starts without faults."""
        self.full, self.delay_ms = False, 0.0

    def write(self, fd, data):
        """Writes data; raises ENOSPC while the disk is full."""
        if self.full:
            raise OSError(errno.ENOSPC, "no space left on device")
        return super().write(fd, data)

    def fsync(self, fd):
        """Syncs the file after the configured delay."""
        if self.delay_ms:
            time.sleep(self.delay_ms / 1000)
        super().fsync(fd)
