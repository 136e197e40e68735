"""Tests of the simulations that evaluate routing and rate-limit decisions."""
