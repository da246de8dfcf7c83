"""What a router believes: configuration, servers, peers."""
