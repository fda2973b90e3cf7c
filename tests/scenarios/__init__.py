"""Tests of the scenario language and of the invariant checks."""
