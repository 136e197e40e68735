"""Tests, in modules that mirror the code."""
