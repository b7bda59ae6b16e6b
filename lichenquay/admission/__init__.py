"""The decisions (controller), the objects they speak of (interface) and their time-bucket rings (rings)."""
