"""Scenarios, randomised runs, benches and experiments."""

from bramleyspread_proof._figures import Figure

__all__ = ["Figure"]
