"""For fronts that tests start with LICHENQUAY_TEST_FULL: while the file of that name is there, their folders' disk is full; while the
file of that name and `.slow` is there, every fsync takes five seconds. With LICHENQUAY_TEST_CLOCK_BACK_S their Unix clock is back by so much."""

import errno
import os
import time

FULL = os.environ.get("LICHENQUAY_TEST_FULL")
if FULL:
    write, fsync = os.write, os.fsync

    def ours(fd):
        return "/folder-" in os.readlink(f"/proc/self/fd/{fd}")

    def full_write(fd, data):
        if os.path.exists(FULL) and ours(fd):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        return write(fd, data)

    def full_fsync(fd):
        if ours(fd):
            if os.path.exists(FULL):
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            if os.path.exists(FULL + ".slow"):
                time.sleep(5.0)
        return fsync(fd)

    os.write, os.fsync = full_write, full_fsync

BACK_S = float(os.environ.get("LICHENQUAY_TEST_CLOCK_BACK_S", 0))
if BACK_S:
    unix = time.time
    time.time = lambda: unix() - BACK_S
