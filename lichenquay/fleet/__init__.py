"""The runtime of the processes of a fleet: one UDP socket, timer and store around decisions without I/O."""
