"""Private implementation; use the public modules instead."""
