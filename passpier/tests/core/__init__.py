"""Tests of `passpier.core`."""
