"""Tests of `passpier.platform`."""
