"""The decisions, a stage a file (controller joins order, slots, picker and guards), the objects they speak of
(interface), what they keep (state) and their time-bucket rings (rings)."""
