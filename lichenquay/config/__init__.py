"""Settings in protobuf text format, beyond the platform's JSON: read whole or refused."""
