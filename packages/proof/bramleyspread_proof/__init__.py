"""Simulated scenarios, randomised tests, benchmarks and policy experiments."""

from bramleyspread_proof._figures import Figure

__all__ = ["Figure"]
