"""Router of the medlarridge fleet."""
