"""The runtime of the processes of a fleet: one UDP socket, one timer and one store around decisions without I/O."""
