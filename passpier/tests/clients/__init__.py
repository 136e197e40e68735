"""Tests of `passpier.clients`."""
