"""The operators' command line of bramleyspread."""
