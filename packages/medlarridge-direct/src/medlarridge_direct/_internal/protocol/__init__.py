"""Types that are shared by the layers of the direct router."""
