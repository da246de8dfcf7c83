"""Private implementation of the router."""
