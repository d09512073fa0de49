"""Tests of bramleyspread_core."""
