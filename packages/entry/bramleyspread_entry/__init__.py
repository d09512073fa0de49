"""Decisions of an entry host about each request."""
