"""Utilities shared by several subpackages."""
