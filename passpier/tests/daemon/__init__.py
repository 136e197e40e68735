"""Tests of `passpier.daemon`."""
