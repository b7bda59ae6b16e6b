"""Runtime of fleet processes: one UDP socket, one timer and one store that drive code without I/O."""
