"""Types that the layers exchange."""
