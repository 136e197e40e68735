"""Tests of `passpier.config`."""
