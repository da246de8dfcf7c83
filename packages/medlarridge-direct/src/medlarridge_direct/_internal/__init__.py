"""Parts of the direct router."""
