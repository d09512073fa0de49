"""Replicated log, documents and claims of bramleyspread."""
