"""Router that sends requests straight to backend servers, without sidecars."""
