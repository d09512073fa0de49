"""Tests of bramleyspread_orders."""
