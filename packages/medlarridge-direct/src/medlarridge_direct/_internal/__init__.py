"""Implementation of the direct router."""
