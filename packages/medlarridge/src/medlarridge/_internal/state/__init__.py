"""Access to the platform's object store."""
