"""Settings in protobuf text format, besides the platform's JSON; a file with any error is rejected."""
