"""Measures what the product costs by its size: probes, and fits over the measured sizes."""
