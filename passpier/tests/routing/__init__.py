"""Tests of `passpier.routing`."""
