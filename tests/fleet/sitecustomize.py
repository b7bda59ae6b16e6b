"""Injects faults into gateways that tests start with these environment variables.

LICHENQUAY_TEST_FULL names a file. While it exists, writes to the gateways' folders fail with ENOSPC; while
the file with the suffix `.slow` exists, each fsync takes five seconds. LICHENQUAY_TEST_CLOCK_BACK_S sets the
Unix clock back by so many seconds.
"""

import errno
import os
import time

FULL_DISK_PATH = os.environ.get("LICHENQUAY_TEST_FULL")
if FULL_DISK_PATH:
    write, fsync = os.write, os.fsync

    def is_in_test_folder(fd):
        """Returns whether a descriptor is of a file in a gateway's folder."""
        return "/folder-" in os.readlink(f"/proc/self/fd/{fd}")

    def failing_write(fd, data):
        """Writes, or fails while the disk counts as full."""
        if os.path.exists(FULL_DISK_PATH) and is_in_test_folder(fd):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        return write(fd, data)

    def failing_fsync(fd):
        """Syncs, slowly or not at all while so asked."""
        if is_in_test_folder(fd):
            if os.path.exists(FULL_DISK_PATH):
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            if os.path.exists(FULL_DISK_PATH + ".slow"):
                time.sleep(5.0)
        return fsync(fd)

    os.write, os.fsync = failing_write, failing_fsync

CLOCK_BACK_S = float(os.environ.get("LICHENQUAY_TEST_CLOCK_BACK_S", 0))
if CLOCK_BACK_S:
    real_time = time.time
    time.time = lambda: real_time() - CLOCK_BACK_S
