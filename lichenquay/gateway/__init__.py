"""The real front: clients' frames in, the controller, calls to engines out, and the answers back."""
