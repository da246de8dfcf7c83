"""Private implementation; import from the public modules instead."""
