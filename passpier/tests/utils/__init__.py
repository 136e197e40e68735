"""Tests of `passpier.utils`."""
