"""What the product costs by its size: fits over measured sizes, and the probes that measure them."""
