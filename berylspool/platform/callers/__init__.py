"""Server for clients that nobody controls."""
