"""Tests of the capacity decisions."""
