"""Tests of `passpier.commands`."""
