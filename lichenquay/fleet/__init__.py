"""The runtime of a fleet: one UDP socket, one timer and one store around decisions without I/O."""
