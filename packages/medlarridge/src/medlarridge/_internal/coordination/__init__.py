"""Decision parts without input or output."""
