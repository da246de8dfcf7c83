"""Connections: HTTP/1.1 to clients, servers and the store; datagrams to routers."""
