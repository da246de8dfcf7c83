"""Private implementation of the sidecar."""
