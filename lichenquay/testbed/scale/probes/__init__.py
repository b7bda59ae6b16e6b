"""The probes: one file each, with `measure(sizes, seed, progress) -> list[Sample]`."""
