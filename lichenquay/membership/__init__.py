"""Who is there: members of a fleet, watched by messages that may be lost, doubled, late or reordered. No I/O."""
