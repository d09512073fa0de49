"""Tests of an entry host's request handling."""
