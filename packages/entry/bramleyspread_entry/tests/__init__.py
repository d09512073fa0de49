"""Tests of the entry host's decisions."""
