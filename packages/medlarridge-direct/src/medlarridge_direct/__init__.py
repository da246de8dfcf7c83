"""Router that sends requests directly to backend servers, without sidecars."""
