"""Sessions and their owners: what a terminal has at one front, and how it moves to another. No I/O."""
