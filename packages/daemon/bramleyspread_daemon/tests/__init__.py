"""Tests of bramleyspread_daemon."""
