"""Stand-ins of the medlarridge fleet."""
