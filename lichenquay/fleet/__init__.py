"""A front among others: one UDP socket, its timers and its disk, round decisions that have no I/O."""
