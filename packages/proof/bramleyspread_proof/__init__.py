"""Scenarios, randomised runs and experiments in virtual time."""
