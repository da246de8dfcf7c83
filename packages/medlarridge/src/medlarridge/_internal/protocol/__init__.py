"""Messages, codecs and table models."""
