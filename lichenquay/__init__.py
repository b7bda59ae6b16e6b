"""An admission controller and gateway for queries on a pool of engines."""
