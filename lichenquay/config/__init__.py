"""Settings of our own features: protobuf text format, read whole or refused."""
