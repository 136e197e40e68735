"""Tests of the models that decisions are measured on."""
