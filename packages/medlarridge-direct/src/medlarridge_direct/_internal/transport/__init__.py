"""Transport: HTTP/1.1 with clients, servers and the store; UDP between routers."""
