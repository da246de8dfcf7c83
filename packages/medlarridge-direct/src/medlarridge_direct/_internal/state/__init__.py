"""State that the router keeps: configuration, servers, peers."""
