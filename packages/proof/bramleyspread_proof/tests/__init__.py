"""Tests of bramleyspread_proof."""
